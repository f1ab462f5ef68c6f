#!/bin/bash
# Store down: serving goes on, a new entry VM learns from its peers, and a
# change is in force everywhere once the store is back.
set -eu
. "$(dirname "$0")/common.sh"
prepare 64 3
cp "$EXAMPLES/atlas-jet.ini" "$DIR/answers.ini"
start_store
for i in 1 2; do start_node $i; done
operate confirm "$DIR/answers.ini" >/dev/null 2>&1
version() { operate dump "$1" 2>/dev/null | python3 -c 'import json,sys; print(json.load(sys.stdin)["config_version"])'; }
for _ in $(seq 100); do [ "$(version 2)" = 1 ] && break; sleep 0.1; done
kill -TERM "$STORE_PID"
wait "$STORE_PID" || true
set +e
operate confirm "$DIR/answers.ini" >/dev/null 2>&1
code=$?
set -e
[ $code = 1 ] || fail "confirm without a store: exit code $code"
start_node 3
for _ in $(seq 100); do [ "$(version 3)" = 1 ] && break; sleep 0.1; done
[ "$(version 3)" = 1 ] || fail "a new node did not learn from its peers"
# The store comes back empty-handed: what is in force must not revert.
start_store
sleep 3
for i in 1 2 3; do
    [ "$(version $i)" = 1 ] || fail "node $i reverted"
done
echo "1 passed, 0 failed"
