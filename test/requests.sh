#!/bin/bash
# One key at three entry VMs runs once; outcomes are honest; planned stop.
set -eu
. "$(dirname "$0")/common.sh"
prepare 62 3
sed 's/address = 127\.20\./address = 127.63./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
for i in 1 2 3; do start_node $i; done
operate confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2

call() { # node key path service
    curl -s --max-time 5 --http2-prior-knowledge -X POST -D "$DIR/head" \
        -H "Host: $4" ${2:+-H "Idempotency-Key: $2"} "http://127.62.0.$1:8080$3"
}
outcome() { sed -n 's/^masticvane-outcome: \([a-z-]*\).*/\1/p' "$DIR/head"; }

first=$(call 1 key-1 /reservations/7 booking)
[ -n "$first" ] || fail "no answer"
for node in 2 3 1; do
    again=$(call $node key-1 /reservations/7 booking)
    [ "$again" = "$first" ] || fail "another answer at node $node"
    [ "$(outcome)" = replayed ] || fail "not replayed at node $node"
done
call 1 "" /x no-such-service >/dev/null
[ "$(outcome)" = not-run ] || fail "unknown service: $(outcome)"

# The owner of the key stops as planned: its successor still knows the key.
for node in 1 2; do
    kill -TERM "${NODE_PID[$node]}"
    wait "${NODE_PID[$node]}" || fail "planned stop of node $node"
    sleep 0.5
    again=$(call 3 key-1 /reservations/7 booking)
    [ "$again" = "$first" ] || fail "forgotten after node $node stopped"
done
kill -TERM "$BACKENDS"
wait "$BACKENDS"
python3 - "$DIR/backends.json" <<'P'
import json, sys
report = json.load(open(sys.argv[1]))
assert report["runs"] == 1 and report["doubled_runs"] == 0, report
print("1 passed, 0 failed")
P
