#!/bin/bash
# A backend server is retired and then a service is ended: status shows each
# step, lists the flows still open after the end by address, and the last
# callers of the service by member.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 76 3
sed 's/address = 127\.20\./address = 127.77./; s/flow_idle_seconds = .*/flow_idle_seconds = 3/' \
    "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 20 "$CALLERS_ADDRESS" >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
for i in 1 2 3; do start_node $i; done
run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
"$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 100 12 20 "$CALLERS_ADDRESS" >"$DIR/callers.json" &
CALLERS=$!
PIDS+=($CALLERS)
sleep 3
run_masticvane retire "$DIR/answers.ini" booking booking-2 --at now --until +2s 2>/dev/null
run_masticvane confirm "$DIR/answers.ini" --accept past-retirement --wait 10 >/dev/null 2>&1

wait_for_status() { # seconds, pattern
    for _ in $(seq $(($1 * 5))); do
        run_masticvane status >"$DIR/status" || true
        grep -Eq "$2" "$DIR/status" && return 0
        sleep 0.2
    done
    fail "no '$2' in status within $1 s: $(cat "$DIR/status")"
}
wait_for_status 5 'booking booking-2  draining'
wait_for_status 15 'booking booking-2  draining LATE .*flows by name [1-9]'
grep -Eq 'flow of [0-9.]+:[0-9]+, silent for [0-9.]+ s, at node [123]' "$DIR/status" || fail "status lists no late flow with its address: $(cat "$DIR/status")"
cat "$DIR"/log? | grep -q ' 5008 ' || fail "no event 5008 in the logs"
kill -TERM "$CALLERS"
wait "$CALLERS"
wait_for_status 40 'booking booking-2  drained'
cat "$DIR"/log? | grep -q ' 5007 ' || fail "no event 5007 in the logs"

# The service ends in 2 s; farm and car-wash call it before, farm also after.
ends=$(date -u -d '+2 seconds' +%Y-%m-%dT%H:%M:%SZ)
sed -i "s/^\[service docs\]/[service docs]\nends = $ends/" "$DIR/answers.ini"
run_masticvane confirm "$DIR/answers.ini" --accept past-retirement --wait 10 >/dev/null 2>&1
send_request() { # node member
    curl -s -o /dev/null -w '%{http_code}' --max-time 5 --http2-prior-knowledge \
        -H 'Host: docs' -H "masticvane-member: $2" "http://127.76.0.$1:8080/x"
}
[ "$(send_request 1 farm)" = 200 ] || fail "request of farm before the end of docs: status is not 200"
[ "$(send_request 2 car-wash)" = 200 ] || fail "request of car-wash before the end of docs: status is not 200"
sleep 2.5
[ "$(send_request 3 farm)" = 410 ] || fail "request of farm after the end of docs: status is not 410"
wait_for_status 5 'docs ends; called by farm: 2 requests, 1 refused'
wait_for_status 5 'docs ends; called by car-wash: 1 requests, 0 refused'
kill -TERM "$BACKENDS"
wait "$BACKENDS"
python3 - "$DIR/backends.json" <<'P'
import json, sys
report = json.load(open(sys.argv[1]))
assert report["broken_flow_packets"] == 0 and report["wrong_service"] == 0, \
    f"expected no packets of broken flows and none at a wrong service: {report}"
print("1 passed, 0 failed")
P
