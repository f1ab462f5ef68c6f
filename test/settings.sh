#!/bin/bash
# Findings in settings name file, line and key; programs return the documented
# exit codes; SIGUSR1 writes a dump; a second SIGTERM does not disturb the
# stop.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 65 1

sed 's/^id = 1/id = one/; s/^address = 127.65.0.1$/address = here/; s/^\[log\]/[log]\nlevle = info/' \
    "$DIR/node1.ini" >"$DIR/bad.ini"
set +e
"$BIN/masticvaned" --config "$DIR/bad.ini" --check 2>"$DIR/findings"
check_code=$?
"$BIN/masticvaned" 2>/dev/null
usage_code=$?
"$BIN/masticvane" no-such 2>/dev/null
command_code=$?
set -e
[ $check_code = 2 ] && [ $usage_code = 2 ] && [ $command_code = 2 ] || fail "exit codes $check_code $usage_code $command_code, expected 2 2 2"
grep -q 'bad.ini:2: node.id: "one" is not allowed' "$DIR/findings" || fail "no finding for node.id in line 2: $(cat "$DIR/findings")"
grep -q 'bad.ini:3: node.address: not an IPv4 address' "$DIR/findings" || fail "no finding for node.address in line 3: $(cat "$DIR/findings")"
grep -q 'log.levle: unknown key' "$DIR/findings" || fail "no finding for the unknown key log.levle: $(cat "$DIR/findings")"
"$BIN/masticvaned" --config "$DIR/node1.ini" --check || fail "--check refused correct settings"

# The template passes its check and gives a plan; a dangerous change is refused
# until the operator accepts the danger by its name.
"$BIN/masticvane" ask >"$DIR/answers.ini"
"$BIN/masticvane" check "$DIR/answers.ini" >/dev/null || fail "check refused the template"
start_store
run_masticvane plan "$DIR/answers.ini" | grep -q 'service web begins' || fail "plan does not list 'service web begins'"
run_masticvane confirm "$DIR/answers.ini" >/dev/null 2>&1 || fail "confirm refused the template"
run_masticvane retire "$DIR/answers.ini" web 1 --at now 2>/dev/null || fail "retire refused endpoint 1 of service web"
set +e
run_masticvane confirm "$DIR/answers.ini" >/dev/null 2>"$DIR/err"
confirm_code=$?
set -e
[ $confirm_code = 4 ] || fail "confirm without --accept last-endpoint: exit code $confirm_code, expected 4"
grep -q 'accept last-endpoint' "$DIR/err" || fail "refusal does not name 'accept last-endpoint': $(cat "$DIR/err")"

printf 'dump_file = %s\n' "$DIR/dump" >"$DIR/extra"
sed "/^\[log\]/r $DIR/extra" "$DIR/node1.ini" >"$DIR/node1.tmp"
mv "$DIR/node1.tmp" "$DIR/node1.ini"
start_node 1
sleep 0.5
kill -USR1 "${NODE_PID[1]}"
sleep 0.5
python3 -c "import json; json.load(open('$DIR/dump'))['counters']" || fail "no dump with counters after SIGUSR1"
kill -TERM "${NODE_PID[1]}"
kill -TERM "${NODE_PID[1]}" 2>/dev/null || true
wait "${NODE_PID[1]}" || fail "exit code after two SIGTERM is not 0"

# Log lines over lines_per_second are left out; event 1007 reports their number
# without a further log line to trigger it.
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
wait "${NODE_PID[1]}" || fail "exit code after SIGTERM is not 0"
grep -q ' 1007 .*over_budget=' "$DIR/short" || fail "no event 1007 with over_budget: $(cat "$DIR/short")"
echo "1 passed, 0 failed"
