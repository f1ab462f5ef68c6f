#!/bin/bash
# A planned stop and restart of an entry VM and the retirement of a backend
# server under load: no request fails or runs twice and no flow breaks.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 73 4
sed 's/address = 127\.20\./address = 127.74./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
write_vm_list() { # leaving node
    local list="" state
    for i in 1 2 3 4; do
        state=live
        [ "$i" = "$1" ] && state=leaving
        list="$list${list:+,}{\"node\":$i,\"state\":\"$state\"}"
    done
    curl -s -X PUT -d "[$list]" "http://$STORE/v1/kv/platform/atlas-jet/vms" >/dev/null
}
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 "$CALLERS_ADDRESS" >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
write_vm_list 0
for i in 1 2 3 4; do start_node $i; done
run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 1
"$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 200 4 300 "$CALLERS_ADDRESS" >"$DIR/callers.json" &
CALLERS=$!
PIDS+=($CALLERS)
sleep 2
run_masticvane retire "$DIR/answers.ini" booking booking-2 --at now 2>/dev/null
run_masticvane confirm "$DIR/answers.ini" --accept past-retirement >/dev/null 2>&1
# The stop begins before the VM list says so: for a moment the fabric still
# sends packets to node 2.
kill -TERM "${NODE_PID[2]}"
write_vm_list 2
wait "${NODE_PID[2]}" || fail "planned stop of node 2: exit code $?, expected 0"
start_node 2
sleep 3
write_vm_list 0
sleep 2
kill -TERM "$CALLERS"
wait "$CALLERS"
sleep 0.5
kill -TERM "$BACKENDS"
wait "$BACKENDS"
python3 - "$DIR" <<'P'
import json, sys
callers = json.load(open(sys.argv[1] + "/callers.json"))
backends = json.load(open(sys.argv[1] + "/backends.json"))
wrong = {name: value for name, value in {
    "cut": callers["cut"], "wrong answers": callers["wrong_answers"],
    "unknown": callers["unknown"], "not run": callers["not_run"],
    "lost flows": callers["flows_opened"] - backends["flows"],
    "broken": backends["broken_flow_packets"], "doubled": backends["doubled_runs"],
    "wrong service": backends["wrong_service"]}.items() if value}
assert callers["answered"] > 1000 and not wrong, \
    f"expected over 1000 answers and no fault: {callers['answered']} answers, faults {wrong}"
print("1 passed, 0 failed")
P
