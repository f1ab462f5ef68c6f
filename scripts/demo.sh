#!/bin/bash
# Runs both users' deployments with stand-ins, one after the other; in each a
# backend server is retired and an entry VM restarted under load.  Then a short
# fault soak with flow tags.  demo.sh [BUILD]
set -eu
BUILD=${1:-build}
BIN=$(cd "$BUILD/bin" && pwd)
EXAMPLES=$(cd "$(dirname "$0")/../examples" && pwd)
RUN=$(mktemp -d)
NODES=7
PIDS=()

cleanup() {
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$RUN"
}
trap cleanup EXIT

start_node() { # name net node
    "$BIN/masticvaned" --config "$RUN/$1/node$3.ini" &
    NODE_PID[$3]=$!
    PIDS+=($!)
}

write_vm_list() { # deployment store leaving-node
    local list="" state
    for i in $(seq 1 $NODES); do
        state=live; [ "$i" = "$3" ] && state=leaving
        list="$list${list:+,}{\"node\":$i,\"state\":\"$state\"}"
    done
    curl -s -X PUT -d "[$list]" "http://$2/v1/kv/platform/$1/vms" >/dev/null
}

json() { python3 -c "import json,sys;d=json.load(open('$1'));print($2)"; }

run_deployment() { # name net service endpoint
    local name=$1 net=$2 service=$3 endpoint=$4 store="127.$2.255.1:8500"
    local dir="$RUN/$name" failed=0
    declare -gA NODE_PID=()
    mkdir -p "$dir"
    cp "$EXAMPLES/$name.ini" "$dir/answers.ini"
    printf '1 %s\n' "$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')" >"$dir/keys"
    for i in $(seq 1 $NODES); do
        printf '[peer %d]\naddress = 127.%d.250.%d\n' "$i" "$net" "$i" >>"$dir/nodes.ini"
    done
    for i in $(seq 1 $NODES); do
        { printf '[node]\nid = %d\naddress = 127.%d.250.%d\ndata_centre = %s\ndeployment = %s\nkey_file = %s\n' \
            "$i" "$net" "$i" "$(sed -n 's/^data_centres = \([^ ]*\).*/\1/p' "$dir/answers.ini")" "$name" "$dir/keys"
          printf '[store]\naddresses = %s\n[log]\nfile = %s\n' "$store" "$dir/node$i.log"
          cat "$dir/nodes.ini"; } >"$dir/node$i.ini"
    done
    echo "== $name: $NODES entry VMs"
    "$BIN/standin-store" "127.$net.255.1" 8500 & PIDS+=($!)
    "$BIN/standin-backends" "$EXAMPLES/$name.ini" 20 >"$dir/backends.json" & local backends=$!
    PIDS+=("$backends")
    for _ in $(seq 50); do curl -s "http://$store/v1/kv/x" >/dev/null && break; sleep 0.05; done
    write_vm_list "$name" "$store" 0
    for i in $(seq 1 $NODES); do start_node "$name" "$net" "$i"; done
    local operator_options=(--store "$store" --nodes "$dir/nodes.ini" --key-file "$dir/keys" --deployment "$name")
    "$BIN/masticvane" confirm "$dir/answers.ini" "${operator_options[@]}" --wait 15 2>&1 | tail -3
    sleep 2
    "$BIN/standin-callers" "$dir/answers.ini" "$dir/nodes.ini" "$store" 400 6 150 >"$dir/callers.json" & local callers=$!
    PIDS+=("$callers")
    sleep 3
    echo "-- one request with curl:"
    curl -s --max-time 5 --http2-prior-knowledge -H "Host: $service" -o /dev/null \
        -w 'status %{http_code}, %{size_download} bytes, %{time_total} s\n' "http://127.$net.250.1:8080/read/0"
    echo "-- backend server $endpoint is retired"
    "$BIN/masticvane" retire "$dir/answers.ini" "$service" "$endpoint" --at now 2>/dev/null
    "$BIN/masticvane" confirm "$dir/answers.ini" "${operator_options[@]}" --wait 15 --accept past-retirement 2>/dev/null | grep leaves
    date +%s%6N >"$dir/retired"
    sleep 3
    echo "-- entry VM 3 is restarted"
    write_vm_list "$name" "$store" 3
    kill -TERM "${NODE_PID[3]}"
    wait "${NODE_PID[3]}" && echo "   planned stop: exit code 0"
    start_node "$name" "$net" 3
    sleep 3
    write_vm_list "$name" "$store" 0
    sleep 4
    "$BIN/masticvane" status "${operator_options[@]}" || true
    "$BIN/masticvane" dump 1 "${operator_options[@]}" >"$dir/dump.json"
    kill -TERM "$callers"; wait "$callers" || true
    sleep 0.5
    kill -TERM "$backends"; wait "$backends" || true
    for i in $(seq 1 $NODES); do kill -TERM "${NODE_PID[$i]}" 2>/dev/null || true; done
    python3 "$(dirname "$0")/demo_report.py" "$dir" "$endpoint" || failed=1
    for i in $(seq 1 $NODES); do wait "${NODE_PID[$i]}" || failed=1; done
    return $failed
}

run_deployment atlas-jet 20 booking booking-3
run_deployment zatkovy-svaz 40 brand-desk brand-desk-5
echo "== fault soak with flow tags on a stand-in for the users' platform"
"$(dirname "$0")/../test/soak/soak.py" "$BIN/masticvaned" --seed 4 --seconds 8 --net 88
echo "demo: both deployments and the soak passed all checks"
