#!/bin/bash
# A backend server and then a service are wound down: status tells each step,
# names late flows, and lists last callers by member.
set -eu
. "$(dirname "$0")/common.sh"
prepare 76 3
sed 's/address = 127\.20\./address = 127.77./; s/flow_idle_seconds = .*/flow_idle_seconds = 3/' \
    "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
for i in 1 2 3; do start_node $i; done
operate confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
"$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 100 12 20 >"$DIR/callers.json" &
CALLERS=$!
PIDS+=($CALLERS)
sleep 3
operate retire "$DIR/answers.ini" booking booking-2 --at now --until +2s 2>/dev/null
operate confirm "$DIR/answers.ini" --accept past-retirement --wait 10 >/dev/null 2>&1

await() { # seconds, pattern
    for _ in $(seq $(($1 * 5))); do
        operate status >"$DIR/status" || true
        grep -Eq "$2" "$DIR/status" && return 0
        sleep 0.2
    done
    fail "no $2 in: $(cat "$DIR/status")"
}
await 5 'booking booking-2  draining'
await 15 'booking booking-2  draining LATE .*flows by name [1-9]'
grep -Eq 'flow of [0-9.]+:[0-9]+, silent for [0-9.]+ s, at node [123]' "$DIR/status" || fail "late flows have no names"
cat "$DIR"/log? | grep -q ' 5008 ' || fail "no event 5008"
kill -TERM "$CALLERS"
wait "$CALLERS"
await 40 'booking booking-2  drained'
cat "$DIR"/log? | grep -q ' 5007 ' || fail "no event 5007"

# The service ends in 2 s; two members still call it, one of them after.
ends=$(date -u -d '+2 seconds' +%Y-%m-%dT%H:%M:%SZ)
sed -i "s/^\[service docs\]/[service docs]\nends = $ends/" "$DIR/answers.ini"
operate confirm "$DIR/answers.ini" --accept past-retirement --wait 10 >/dev/null 2>&1
call() { # node member
    curl -s -o /dev/null -w '%{http_code}' --max-time 5 --http2-prior-knowledge \
        -H 'Host: docs' -H "masticvane-member: $2" "http://127.76.0.$1:8080/x"
}
[ "$(call 1 farm)" = 200 ] || fail "refused before its end"
[ "$(call 2 car-wash)" = 200 ] || fail "refused before its end"
sleep 2.5
[ "$(call 3 farm)" = 410 ] || fail "not told that the service has ended"
await 5 'docs ends; called by farm: 2 requests, 1 refused'
await 5 'docs ends; called by car-wash: 1 requests, 0 refused'
kill -TERM "$BACKENDS"
wait "$BACKENDS"
python3 - "$DIR/backends.json" <<'P'
import json, sys
report = json.load(open(sys.argv[1]))
assert report["broken_flow_packets"] == 0 and report["wrong_service"] == 0, report
print("1 passed, 0 failed")
P
