#!/bin/bash
# While the store is down, confirm fails, the configuration stays in force
# and a new entry VM gets it from its peers.  The configuration also stays in
# force when the store comes back without data.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 64 3
cp "$EXAMPLES/atlas-jet.ini" "$DIR/answers.ini"
start_store
for i in 1 2; do start_node $i; done
run_masticvane confirm "$DIR/answers.ini" >/dev/null 2>&1
config_version() { run_masticvane dump "$1" 2>/dev/null | python3 -c 'import json,sys; print(json.load(sys.stdin)["config_version"])'; }
for _ in $(seq 100); do [ "$(config_version 2)" = 1 ] && break; sleep 0.1; done
kill -TERM "$STORE_PID"
wait "$STORE_PID" || true
set +e
run_masticvane confirm "$DIR/answers.ini" >/dev/null 2>&1
confirm_code=$?
set -e
[ $confirm_code = 1 ] || fail "confirm without a store: exit code $confirm_code, expected 1"
start_node 3
for _ in $(seq 100); do [ "$(config_version 3)" = 1 ] && break; sleep 0.1; done
[ "$(config_version 3)" = 1 ] || fail "node 3 did not get configuration version 1 from its peers within 10 s"
# The store comes back without data.
start_store
sleep 3
for i in 1 2 3; do
    [ "$(config_version $i)" = 1 ] || fail "node $i: configuration version is not 1 after the store came back empty"
done
echo "1 passed, 0 failed"
