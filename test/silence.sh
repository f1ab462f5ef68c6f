#!/bin/bash
# Connections that go silent are found within 2 s, and new ones work.
set -eu
. "$(dirname "$0")/common.sh"
prepare 69 1
sed 's/address = 127\.20\./address = 127.70./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >/dev/null &
BACKENDS=$!
PIDS+=($BACKENDS)
start_node 1
operate confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2
call() { # key
    curl -s --max-time 20 --http2-prior-knowledge -X POST -D "$DIR/head" -o /dev/null \
        -w '%{http_code}' -H 'Host: booking' -H "Idempotency-Key: $1" "http://127.69.0.1:8080/reservations/1"
}
reason() { sed -n 's/^masticvane-reason: \([a-z-]*\).*/\1/p' "$DIR/head"; }
for i in $(seq 1 30); do
    [ "$(call "warm-$i")" = 200 ] || fail "warm-up"
done
kill -STOP "$BACKENDS"
began=$(date +%s%N)
code=$(call silent-1)
took=$((($(date +%s%N) - began) / 1000000))
kill -CONT "$BACKENDS"
[ "$code" = 504 ] && [ "$(reason)" = backend-broken ] || fail "$code $(reason)"
# Found after 2 s of silence; the answer is given at once then.
[ $took -ge 1500 ] && [ $took -le 6000 ] || fail "took $took ms"
grep -q ' 5002 ' "$DIR/log1" || fail "no event 5002"
for i in $(seq 1 30); do
    [ "$(call "after-$i")" = 200 ] || fail "after the silence: $(reason)"
done
# The repeated key may have run: never "not run", never a second run.
[ "$(call silent-1)" != 503 ] || fail "a key that may have run was told not run"
echo "1 passed, 0 failed"
