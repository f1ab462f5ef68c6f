#!/bin/bash
# Settings read again while the daemon runs, with SIGHUP and without, good and
# bad ones; a bad request to the metrics address costs nothing.
set -eu
. "$(dirname "$0")/common.sh"
NET=66
write_settings() { # stop_seconds flow_sample
    cat >"$DIR/new.ini" <<SETTINGS
[node]
forwarding = tags
name = one
data_centre = casa
[listen]
packets = 127.$NET.0.1:7700
health = 127.$NET.0.1:7701
metrics = 127.$NET.0.1:7703
[store]
addresses = 127.$NET.255.1:8500
[limits]
stop_seconds = $1
[log]
file = $DIR/log
flow_sample = $2
SETTINGS
    mv "$DIR/new.ini" "$DIR/node.ini"
}
wait_for() { # pattern
    for _ in $(seq 60); do
        grep -q "$1" "$DIR/log" 2>/dev/null && return
        sleep 0.1
    done
    fail "no line with $1: $(cat "$DIR/log")"
}
ask() { # target
    exec 3<>"/dev/tcp/127.$NET.0.1/7703"
    printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$1" >&3
    timeout 2 cat <&3
    exec 3>&-
}

write_settings 6 256
"$BIN/masticvaned" --config "$DIR/node.ini" &
PIDS+=($!)
daemon=$!
wait_for ' 1001 '
write_settings 5 1
kill -HUP "$daemon"
wait_for ' 1010 .*stop_ms=5000 .*flow_sample=1$'
write_settings never 1
wait_for ' 1011 .*node.ini:12: limits.stop_seconds'
write_settings 4 7
wait_for ' 1010 .*stop_ms=4000 .*flow_sample=7$'

# Nothing was heard of the store: there is no knowledge that could be old.
printf nonsense >"/dev/udp/127.$NET.0.1/7700"
sleep 0.2
ask /metrics >"$DIR/metrics"
for line in packets_malformed_total packet_handling_seconds_count \
    decision_knowledge_age_seconds_count; do
    grep -q "^masticvane_$line 1\$" "$DIR/metrics" || fail "$line: $(cat "$DIR/metrics")"
done
grep -q '^masticvane_decision_knowledge_age_seconds_sum 0.000000$' "$DIR/metrics" || fail "age"
ask /nothing >"$DIR/nothing"
head -1 "$DIR/nothing" | grep -q ' 404 ' || fail "bad request: $(cat "$DIR/nothing")"
wait_for ' 2003 '
kill "$daemon"
wait "$daemon" || fail "exit code $?"
wait_for ' 1003 '
echo "1 passed, 0 failed"
