#!/bin/bash
# A request repeated with the same key at three entry VMs runs once, and still
# so after planned stops of two of them; a request for an unknown service is
# reported as not run.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 62 3
sed 's/address = 127\.20\./address = 127.63./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
for i in 1 2 3; do start_node $i; done
run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2

send_request() { # node key path service
    curl -s --max-time 5 --http2-prior-knowledge -X POST -D "$DIR/head" \
        -H "Host: $4" ${2:+-H "Idempotency-Key: $2"} "http://127.62.0.$1:8080$3"
}
outcome() { sed -n 's/^masticvane-outcome: \([a-z-]*\).*/\1/p' "$DIR/head"; }

first_answer=$(send_request 1 key-1 /reservations/7 booking)
[ -n "$first_answer" ] || fail "no answer to the first request with key-1"
for node in 2 3 1; do
    repeated_answer=$(send_request $node key-1 /reservations/7 booking)
    [ "$repeated_answer" = "$first_answer" ] || fail "node $node answered key-1 with '$repeated_answer', expected '$first_answer'"
    [ "$(outcome)" = replayed ] || fail "outcome of key-1 at node $node is '$(outcome)', expected replayed"
done
send_request 1 "" /x no-such-service >/dev/null
[ "$(outcome)" = not-run ] || fail "outcome for an unknown service is '$(outcome)', expected not-run"

# After a planned stop of the owner of the key, the next owner has its answer.
for node in 1 2; do
    kill -TERM "${NODE_PID[$node]}"
    wait "${NODE_PID[$node]}" || fail "planned stop of node $node: exit code is not 0"
    sleep 0.5
    repeated_answer=$(send_request 3 key-1 /reservations/7 booking)
    [ "$repeated_answer" = "$first_answer" ] || fail "key-1 after the stop of node $node: answer '$repeated_answer', expected '$first_answer'"
done
kill -TERM "$BACKENDS"
wait "$BACKENDS"
python3 - "$DIR/backends.json" <<'P'
import json, sys
report = json.load(open(sys.argv[1]))
assert report["runs"] == 1 and report["doubled_runs"] == 0, f"expected one run: {report}"
print("1 passed, 0 failed")
P
