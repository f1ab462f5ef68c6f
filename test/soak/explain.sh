#!/bin/bash
# The commands of docs/OPERATIONS.md find the cause of three kinds of failure
# in the logs of a soak.  explain.sh DAEMON
set -eu
here=$(dirname "$0")
fail() {
    echo "FAILED: $*"
    exit 1
}
# Return: the folder with the logs of a run with one kind of fault.
play() { # kind net
    "$here/soak.py" "$DAEMON" --seed 3 --seconds 8 --net "$2" --only "$1" --keep >"$OUT/$1" || {
        cat "$OUT/$1"
        fail "$1 went red"
    }
    sed -n 's/^logs: //p' "$OUT/$1"
}
DAEMON=$1
OUT=$(mktemp -d)

logs=$(play crash 85)
found=
for silent in $(grep -h ' 6002 ' "$logs"/log* | sed 's/.*instead_of=\([0-9a-f]*\).*/\1/' | sort -u); do
    id=$(printf '%08x' "0x$silent")
    grep -hq " 5004 .*i-$id" "$logs"/log* && found=$silent
done
[ -n "$found" ] || fail "no server that did not answer is among those that vanished"
story=
for flow in $(grep -h " 6003 .*instead_of=$found " "$logs"/log* | grep -o 'flow=[^ ]*'); do
    grep -h "$flow " "$logs"/log* | sort | grep -q " 6001 .*server=$found " && story=$flow
done
[ -n "$story" ] || fail "no flow was offered to $found, then open elsewhere"

logs=$(play change 86)
line=$(grep -h ' 6005 ' "$logs"/log* | grep 'why=packets_no_service' | tail -1)
[ -n "$line" ] || fail "no refused flow"
version=$(grep -o 'version=[0-9]*' <<<"$line")
grep -hq " 2001 .*$version " "$logs"/log* || fail "$version is not told to be in force"

logs=$(play kill_all 87)
starts=$(grep -h ' 1001 ' "$logs"/log* | wc -l)
[ "$starts" -ge 8 ] || fail "only $starts starts"
grep -hq ' 1006 .*ready=1' "$logs"/log* || fail "no readiness"
rm -rf "$OUT"
echo "3 passed, 0 failed"
