#!/bin/bash
# An entry VM is paused for 6 s under load while a change is confirmed: a peer
# declares it dead, it gets the change afterwards, no request is cut or runs
# twice and no answer is wrong.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 79 4
sed 's/address = 127\.20\./address = 127.80./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
for i in 1 2 3 4; do start_node $i; done
run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2
"$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 0 1 150 >"$DIR/callers.json" &
CALLERS=$!
PIDS+=($CALLERS)
sleep 1
kill -STOP "${NODE_PID[2]}"
sleep 1
run_masticvane retire "$DIR/answers.ini" booking booking-4 --at now 2>/dev/null
run_masticvane confirm "$DIR/answers.ini" --accept past-retirement >/dev/null 2>&1
sleep 5
kill -CONT "${NODE_PID[2]}"
config_version() { run_masticvane dump 2 2>/dev/null | python3 -c 'import json,sys; print(json.load(sys.stdin)["config_version"])'; }
for _ in $(seq 60); do [ "$(config_version)" = 2 ] && break; sleep 0.2; done
[ "$(config_version)" = 2 ] || fail "node 2 did not get configuration version 2 within 12 s of its pause"
grep -q ' 3003 .*node=2' "$DIR/log1" "$DIR/log3" "$DIR/log4" || fail "no event 3003 for node 2 in the logs of its peers"
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
    "doubled": backends["doubled_runs"], "wrong service": backends["wrong_service"]}.items() if value}
assert callers["answered"] > 500 and not wrong, \
    f"expected over 500 answers and no fault: faults {wrong}, {callers}"
print("1 passed, 0 failed")
P
