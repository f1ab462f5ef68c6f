#!/bin/bash
# Measures the packets per second that one entry VM forwards with one and with
# four traffic threads, and the loss, at several offered rates.
# throughput.sh [BUILD]
set -eu
BUILD=${1:-build}
. "$(dirname "$0")/../test/common.sh" "$(cd "$BUILD/bin" && pwd)" "$(dirname "$0")/../examples"
echo "| traffic threads | offered a second | through a second | lost |"
echo "| --- | --- | --- | --- |"
net=67
for threads in 1 4; do
    prepare_deployment $net 1
    sed -i "s/^id = 1/id = 1\npacket_threads = $threads/" "$DIR/node1.ini"
    { printf '[deployment]\nname = atlas-jet\ndata_centres = casa\n[service web]\naddress = 10.9.0.1\n'
      for e in 1 2 3 4; do printf '[endpoint web %d]\ndata_centre = casa\naddress = 127.%d.1.%d\n' $e $net $e; done; } >"$DIR/answers.ini"
    start_store
    start_node 1
    run_masticvane confirm "$DIR/answers.ini" --wait 10 >/dev/null 2>&1
    for rate in 50000 100000 200000 400000; do
        # Four senders, so that the kernel spreads their packets over the
        # threads.
        result=""
        "$BIN/standin-blast" 127.$net.0.1 10.9.0.1 $((rate / 4)) 3 127.$net.1.1 127.$net.1.2 127.$net.1.3 127.$net.1.4 >"$DIR/out0" &
        first=$!
        for s in 1 2 3; do
            "$BIN/standin-blast" 127.$net.0.1 10.9.0.1 $((rate / 4)) 3 127.$net.2.$s >"$DIR/out$s" &
        done
        wait $first
        sleep 0.2
        cat "$DIR"/out[0-3] | awk -v t=$threads '{s += $1; r += $2} END {printf "| %d | %d | %d | %.2f%% |\n", t, s, r, 100 * (s - r) / s}'
    done
    kill -TERM "${NODE_PID[1]}" "$STORE_PID"
    wait "${NODE_PID[1]}" "$STORE_PID" || true
    net=$((net + 1))
done
