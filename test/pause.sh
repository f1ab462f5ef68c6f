#!/bin/bash
# An entry VM stands still for 6 s under load and a change is confirmed
# meanwhile: nothing runs twice, no answer is wrong, and it catches up.
set -eu
. "$(dirname "$0")/common.sh"
prepare 79 4
sed 's/address = 127\.20\./address = 127.80./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
for i in 1 2 3 4; do start_node $i; done
operate confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2
"$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 0 1 150 >"$DIR/callers.json" &
CALLERS=$!
PIDS+=($CALLERS)
sleep 1
kill -STOP "${NODE_PID[2]}"
sleep 1
operate retire "$DIR/answers.ini" booking booking-4 --at now 2>/dev/null
operate confirm "$DIR/answers.ini" --accept past-retirement >/dev/null 2>&1
sleep 5
kill -CONT "${NODE_PID[2]}"
version() { operate dump 2 2>/dev/null | python3 -c 'import json,sys; print(json.load(sys.stdin)["config_version"])'; }
for _ in $(seq 60); do [ "$(version)" = 2 ] && break; sleep 0.2; done
[ "$(version)" = 2 ] || fail "the paused node did not catch up"
grep -q ' 3003 .*node=2' "$DIR/log1" "$DIR/log3" "$DIR/log4" || fail "its silence was not noticed"
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
assert callers["answered"] > 500 and not wrong, (callers, wrong)
print("1 passed, 0 failed")
P
