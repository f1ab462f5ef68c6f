#!/bin/bash
# The searches that docs/OPERATIONS.md describes find the cause of three kinds
# of failure in the logs of a soak: a crashed backend server, a changed
# configuration, killed nodes.  explain.sh DAEMON
set -eu
here=$(dirname "$0")
fail() {
    echo "FAILED: $*"
    exit 1
}
# Runs a soak with one kind of fault and prints the folder of its logs.
run_soak() { # kind net seconds
    "$here/soak.py" "$DAEMON" --seed 3 --seconds "$3" --net "$2" --only "$1" --keep >"$OUT/$1" || {
        cat "$OUT/$1"
        fail "the soak with --only $1 failed"
    }
    sed -n 's/^logs: //p' "$OUT/$1"
}
DAEMON=$1
OUT=$(mktemp -d)

logs=$(run_soak crash 85 8)
# A server that did not answer SYNs (event 6002) is reported gone (5004),
# and a flow that was placed at it (6001) was refused for that (6005).
gone_server=
for silent in $(grep -h ' 6002 ' "$logs"/log* | sed 's/.* server=\([0-9a-f]*\).*/\1/' | sort -u); do
    id=$(printf '%08x' "0x$silent")
    grep -hq " 5004 .*i-$id" "$logs"/log* && gone_server=$silent
done
[ -n "$gone_server" ] || fail "no server that events 6002 name as silent has an event 5004 in $logs"
refused_flow=
for flow in $(grep -h " 6005 .*server=$gone_server why=flows_unanswered " "$logs"/log* | grep -o 'flow=[^ ]*'); do
    grep -h "$flow " "$logs"/log* | sort | grep -q " 6001 .*server=$gone_server " && refused_flow=$flow
done
[ -n "$refused_flow" ] || fail "no flow was placed at $gone_server (6001) and refused for its silence (6005) in $logs"

# The route is away several times: its caller may spend one of them on a flow that
# it opened just before.
logs=$(run_soak change 86 24)
# A refused flow (event 6005) names a configuration version that was in force
# (event 2001).
refusal=$(grep -h ' 6005 ' "$logs"/log* | grep 'why=packets_no_service' | tail -1)
[ -n "$refusal" ] || fail "no event 6005 with why=packets_no_service in $logs"
version=$(grep -o 'version=[0-9]*' <<<"$refusal")
grep -hq " 2001 .*$version " "$logs"/log* || fail "no event 2001 with $version in $logs"

logs=$(run_soak kill_all 87 8)
# All four nodes were killed: each start (1001) and readiness (1006) is logged.
starts=$(grep -h ' 1001 ' "$logs"/log* | wc -l)
[ "$starts" -ge 8 ] || fail "$starts events 1001 in $logs, expected at least 8"
grep -hq ' 1006 .*ready=1' "$logs"/log* || fail "no event 1006 with ready=1 in $logs"
rm -rf "$OUT"
echo "3 passed, 0 failed"
