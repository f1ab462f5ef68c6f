#!/bin/bash
# Changed settings take effect while the daemon runs, with SIGHUP and without
# it; a wrong value is refused with its place in the file.  A request to the
# metrics address for an unknown path is answered by 404.
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
wait_for_log() { # pattern
    for _ in $(seq 60); do
        grep -q "$1" "$DIR/log" 2>/dev/null && return
        sleep 0.1
    done
    fail "no log line with '$1' within 6 s: $(cat "$DIR/log")"
}
http_get() { # target
    exec 3<>"/dev/tcp/127.$NET.0.1/7703"
    printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$1" >&3
    timeout 2 cat <&3
    exec 3>&-
}

write_settings 6 256
"$BIN/masticvaned" --config "$DIR/node.ini" &
PIDS+=($!)
daemon=$!
wait_for_log ' 1001 '
write_settings 5 1
kill -HUP "$daemon"
wait_for_log ' 1010 .*stop_ms=5000 .*flow_sample=1$'
write_settings never 1
wait_for_log ' 1011 .*node.ini:12: limits.stop_seconds'
write_settings 4 7
wait_for_log ' 1010 .*stop_ms=4000 .*flow_sample=7$'

# The store was never reached, so decision_knowledge_age is recorded as 0.
printf nonsense >"/dev/udp/127.$NET.0.1/7700"
sleep 0.2
http_get /metrics >"$DIR/metrics"
for line in packets_malformed_total packet_handling_seconds_count \
    decision_knowledge_age_seconds_count; do
    grep -q "^masticvane_$line 1\$" "$DIR/metrics" || fail "metric masticvane_$line is not 1: $(cat "$DIR/metrics")"
done
grep -q '^masticvane_decision_knowledge_age_seconds_sum 0.000000$' "$DIR/metrics" || fail "metric masticvane_decision_knowledge_age_seconds_sum is not 0"
http_get /nothing >"$DIR/nothing"
head -1 "$DIR/nothing" | grep -q ' 404 ' || fail "GET /nothing: expected status 404, got: $(cat "$DIR/nothing")"
wait_for_log ' 2003 '
kill "$daemon"
wait "$daemon" || fail "daemon stopped with exit code $?, expected 0"
wait_for_log ' 1003 '
echo "1 passed, 0 failed"
