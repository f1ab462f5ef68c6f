#!/bin/bash
# A planned stop and restart under load, and a drain: nothing is cut.
set -eu
. "$(dirname "$0")/common.sh"
prepare 73 4
sed 's/address = 127\.20\./address = 127.74./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
vm_list() { # leaving node
    local list="" state
    for i in 1 2 3 4; do
        state=live
        [ "$i" = "$1" ] && state=leaving
        list="$list${list:+,}{\"node\":$i,\"state\":\"$state\"}"
    done
    curl -s -X PUT -d "[$list]" "http://$STORE/v1/kv/platform/atlas-jet/vms" >/dev/null
}
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
vm_list 0
for i in 1 2 3 4; do start_node $i; done
operate confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 1
"$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 200 4 300 >"$DIR/callers.json" &
CALLERS=$!
PIDS+=($CALLERS)
sleep 2
operate retire "$DIR/answers.ini" booking booking-2 --at now 2>/dev/null
operate confirm "$DIR/answers.ini" --accept past-retirement >/dev/null 2>&1
# The fabric goes on handing packets for a moment after the stop begins.
kill -TERM "${NODE_PID[2]}"
vm_list 2
wait "${NODE_PID[2]}" || fail "planned stop: $?"
start_node 2
sleep 3
vm_list 0
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
assert callers["answered"] > 1000 and not wrong, (callers["answered"], wrong)
print("1 passed, 0 failed")
P
