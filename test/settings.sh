#!/bin/bash
# Findings with their place, exit codes, SIGUSR1, and a second SIGTERM.
set -eu
. "$(dirname "$0")/common.sh"
prepare 65 1

sed 's/^id = 1/id = one/; s/^address = 127.65.0.1$/address = here/; s/^\[log\]/[log]\nlevle = info/' \
    "$DIR/node1.ini" >"$DIR/bad.ini"
set +e
"$BIN/masticvaned" --config "$DIR/bad.ini" --check 2>"$DIR/findings"
code=$?
"$BIN/masticvaned" 2>/dev/null
usage=$?
"$BIN/masticvane" no-such 2>/dev/null
unknown=$?
set -e
[ $code = 2 ] && [ $usage = 2 ] && [ $unknown = 2 ] || fail "exit codes $code $usage $unknown"
grep -q 'bad.ini:2: node.id: "one" is not allowed' "$DIR/findings" || fail "id: $(cat "$DIR/findings")"
grep -q 'bad.ini:3: node.address: not an IPv4 address' "$DIR/findings" || fail address
grep -q 'log.levle: unknown key' "$DIR/findings" || fail "unknown key"
"$BIN/masticvaned" --config "$DIR/node1.ini" --check || fail "good settings"

# The template, its check, a plan, and a danger that needs its word.
"$BIN/masticvane" ask >"$DIR/answers.ini"
"$BIN/masticvane" check "$DIR/answers.ini" >/dev/null || fail "template"
start_store
operate plan "$DIR/answers.ini" | grep -q 'service web begins' || fail plan
operate confirm "$DIR/answers.ini" >/dev/null 2>&1 || fail confirm
operate retire "$DIR/answers.ini" web 1 --at now 2>/dev/null || fail retire
set +e
operate confirm "$DIR/answers.ini" >/dev/null 2>"$DIR/err"
code=$?
set -e
[ $code = 4 ] || fail "a danger was accepted without its word: $code"
grep -q 'accept last-endpoint' "$DIR/err" || fail "$(cat "$DIR/err")"

printf 'dump_file = %s\n' "$DIR/dump" >"$DIR/extra"
sed "/^\[log\]/r $DIR/extra" "$DIR/node1.ini" >"$DIR/node1.tmp"
mv "$DIR/node1.tmp" "$DIR/node1.ini"
start_node 1
sleep 0.5
kill -USR1 "${NODE_PID[1]}"
sleep 0.5
python3 -c "import json; json.load(open('$DIR/dump'))['counters']" || fail dump
kill -TERM "${NODE_PID[1]}"
kill -TERM "${NODE_PID[1]}" 2>/dev/null || true
wait "${NODE_PID[1]}" || fail "stop"

# A line budget holds, and what it left out is said without a further line.
printf 'lines_per_second = 1\n' >"$DIR/extra"
sed -e "s|^file = .*|file = $DIR/short|" -e "/^\[log\]/r $DIR/extra" "$DIR/node1.ini" >"$DIR/node1.tmp"
mv "$DIR/node1.tmp" "$DIR/node1.ini"
start_node 1
sleep 0.5
for _ in 1 2 3; do
    kill -USR1 "${NODE_PID[1]}"
    sleep 0.1
done
sleep 2
kill -TERM "${NODE_PID[1]}"
wait "${NODE_PID[1]}" || fail "stop"
grep -q ' 1007 .*over_budget=' "$DIR/short" || fail "line budget: $(cat "$DIR/short")"
echo "1 passed, 0 failed"
