#!/bin/bash
# Measures the processor time per request of one daemon at a steady rate of
# requests, and the latency that its callers see.
# request_cost.sh [BUILD] [RATE]
set -eu
BUILD=${1:-build}
RATE=${2:-3000}
. "$(dirname "$0")/../test/common.sh" "$(cd "$BUILD/bin" && pwd)" "$(dirname "$0")/../examples"
prepare_deployment 71 1
sed 's/address = 127\.20\./address = 127.72./' "$EXAMPLES/atlas-jet.ini" >"$DIR/answers.ini"
start_store
"$BIN/standin-backends" "$DIR/answers.ini" 1 >"$DIR/backends.json" &
BACKENDS=$!
PIDS+=($BACKENDS)
start_node 1
run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
sleep 2
cpu_ticks() { awk '{print $14 + $15}' "/proc/${NODE_PID[1]}/stat"; }
before=$(cpu_ticks)
timeout -s TERM 6 "$BIN/standin-callers" "$DIR/answers.ini" "$DIR/nodes.ini" "$STORE" 0 1 "$RATE" >"$DIR/callers.json" || true
after=$(cpu_ticks)
python3 - "$DIR/callers.json" $((after - before)) <<'P'
import json, os, sys
callers = json.load(open(sys.argv[1]))
cpu_seconds = int(sys.argv[2]) / os.sysconf("SC_CLK_TCK")
answered = callers["answered"]
latency = callers["latency_us"]
print(f"{answered} answered, cut {callers['cut']}, {cpu_seconds / answered * 1e6:.0f} us of processor time per request, "
      f"latency mean {latency['mean'] / 1000:.2f} ms, p99 {latency['p99'] / 1000:.2f} ms")
P
