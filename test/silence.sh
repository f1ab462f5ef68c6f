#!/bin/bash
# A backend server is silent for over 2 s: the daemon closes the connection and
# answers the open request with 504 backend-broken, and later requests succeed.
# The request may have run, so a repetition of its key is never answered as not
# run.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 69 1
sed 's/address = 127\.20\./address = 127.70./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >/dev/null &
BACKENDS=$!
PIDS+=($BACKENDS)
start_node 1
run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2
send_request() { # key
    curl -s --max-time 20 --http2-prior-knowledge -X POST -D "$DIR/head" -o /dev/null \
        -w '%{http_code}' -H 'Host: booking' -H "Idempotency-Key: $1" "http://127.69.0.1:8080/reservations/1"
}
reason() { sed -n 's/^masticvane-reason: \([a-z-]*\).*/\1/p' "$DIR/head"; }
for i in $(seq 1 30); do
    [ "$(send_request "warm-$i")" = 200 ] || fail "request $i before the silence failed: $(reason)"
done
kill -STOP "$BACKENDS"
started_ns=$(date +%s%N)
code=$(send_request silent-1)
took_ms=$((($(date +%s%N) - started_ns) / 1000000))
kill -CONT "$BACKENDS"
[ "$code" = 504 ] && [ "$(reason)" = backend-broken ] || fail "request to a silent server: $code $(reason), expected 504 backend-broken"
# The silence is detected after 2 s; the answer follows at once.
[ $took_ms -ge 1500 ] && [ $took_ms -le 6000 ] || fail "answer to the silent request took $took_ms ms, expected 1500 to 6000 ms"
grep -q ' 5002 ' "$DIR/log1" || fail "no event 5002 in the log of node 1"
for i in $(seq 1 30); do
    [ "$(send_request "after-$i")" = 200 ] || fail "request $i after the silence failed: $(reason)"
done
# 503 would report the request as not run.
[ "$(send_request silent-1)" != 503 ] || fail "repeated key silent-1 was answered by 503 (not run), but its request may have run"
echo "1 passed, 0 failed"
