#!/bin/bash
# Fuzzes the parsers with three fixed seeds, beginning with a small corpus of
# valid and nearly valid inputs.  The first byte of an input selects the
# parser.
# fuzz.sh [BUILD] [RUNS]
set -eu
BUILD=${1:-build-sanitize}
RUNS=${2:-20000}
CORPUS=$(mktemp -d)
trap 'rm -rf "$CORPUS"' EXIT
examples=$(dirname "$0")/../examples
python3 - "$CORPUS" "$examples" "$BUILD/bin/masticvane" <<'P'
import pathlib, struct, subprocess, sys
corpus, examples, masticvane = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]), sys.argv[3]
def add(kind, name, data):
    (corpus / name).write_bytes(bytes([kind]) + data)
ip = struct.pack("!BBHHHBBH4s4s", 0x45, 0, 40, 0, 0, 64, 6, 0, bytes([1, 2, 3, 4]), bytes([10, 20, 0, 1]))
tcp = struct.pack("!HHIIBBHHH", 1024, 443, 0, 0, 0x50, 2, 0, 0, 0)
add(0, "plain", ip + tcp)
add(0, "options", bytes([0x47]) + ip[1:] + bytes([1] * 8) + tcp)
add(0, "fragment", ip[:6] + bytes([0x20, 0x10]) + ip[8:] + tcp)
add(0, "truncated", (ip + tcp)[:33])
add(1, "message", bytes([0x9c]) + bytes([1, 2, 3]) + bytes([0x90] * 9))
add(2, "frame", struct.pack("!IBBBBHHQ", 32, 1, 1, 1, 0, 1, 0, 1) + bytes(32))
for path in examples.glob("*.ini"):
    text = path.read_bytes()
    add(3, path.stem, text)
    # The first 1200 bytes: the smallest part with a whole service and its
    # endpoints.
    add(3, path.stem + "-head", text[:1200])
root = b'{"root":{"name":"d","version":1,"services":[{"name":"a","digest":"00"}]},"services":[null]}'
add(4, "bundle", root)
head = struct.pack("!B3xHII4sH4sHII", 0x80, 0, 1, 0, bytes([100, 64, 0, 7]), 443,
                   bytes([198, 18, 0, 1]), 40001, 7, 0)
add(5, "opening", head)
add(5, "data", bytes([8]) + head[1:4] + bytes([0, 3]) + head[6:] + b"abc")
add(6, "announcement", b'{"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"seq":1,"born":17}')
add(6, "part", b'{"service":"a","address":"10.0.0.9:80","zone":"z","slots":2,"state":"ready","born":17}')
add(6, "routes", b'{"version":7,"routes":[{"host":"198.18.0.1","prefix":"/8443/","service":"a"}],"limits":{}}')
add(7, "delta", bytes([0, 0x94, 0, 5, 1, 0x91, 0x93, 0xc4, 1]) + b"k" + bytes([5, 0xc4, 1]) + b"v")
P
for seed in 1 2 3; do
    "$BUILD/bin/masticvane-fuzz" -runs="$RUNS" -seed=$seed -max_len=4096 -rss_limit_mb=2048 \
        -print_final_stats=0 -artifact_prefix="$CORPUS/" "$CORPUS" >"$CORPUS.log" 2>&1 || {
        tail -40 "$CORPUS.log"
        rm -f "$CORPUS.log"
        echo "fuzz: seed $seed failed; the end of its log is above"
        exit 1
    }
    tail -1 "$CORPUS.log"
done
rm -f "$CORPUS.log"
echo "fuzz: 3 seeds, $RUNS runs each, no failure"
