#!/bin/bash
# 10,000 malformed frames and packets neither stop the daemon nor flood its
# log: it counts them, still answers a dump and stops with exit code 0.
set -eu
. "$(dirname "$0")/common.sh"
prepare_deployment 61 1
start_store
start_node 1
sleep 0.5
run_masticvane confirm "$EXAMPLES/atlas-jet.ini" --wait 10 >/dev/null 2>&1
python3 - 127.61.0.1 <<'P'
import random, socket, struct, sys
address, rng = sys.argv[1], random.Random(1)
udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
ip = struct.pack("!BBHHHBBH4s4s", 0x45, 0, 40, 0, 0, 64, 6, 0, bytes([1, 2, 3, 4]), bytes([10, 20, 0, 1]))
tcp = struct.pack("!HHIIBBHHH", 1024, 443, 0, 0, 0x50, 2, 0, 0, 0)
frame = struct.pack("!IBBBBHHQ", 32, 1, 1, 1, 0, 1, 0, 1) + bytes(32)
for i in range(9000):
    base = bytearray(rng.choice([ip + tcp, frame, bytes(rng.randrange(256) for _ in range(rng.randrange(80)))]))
    for _ in range(rng.randrange(4)):
        if base:
            base[rng.randrange(len(base))] = rng.randrange(256)
    base = base[:rng.randrange(len(base) + 1)]
    udp.sendto(bytes(base), (address, rng.choice([5555, 7400, 7401, 7402])))
for i in range(1000):
    s = socket.create_connection((address, rng.choice([7400, 7401, 8080])))
    garbage = bytearray(frame * 2)
    garbage[rng.randrange(len(garbage))] = rng.randrange(256)
    try:
        s.sendall(bytes(garbage[:rng.randrange(1, len(garbage))]))
    except OSError:
        pass
    s.close()
P
sleep 0.5
run_masticvane dump 1 >"$DIR/dump"
python3 - "$DIR/dump" <<'P'
import json, sys
counters = json.load(open(sys.argv[1]))["counters"]
assert counters["frames_refused"] > 1000, f"expected over 1000 refused frames: {counters}"
assert counters["packets_malformed"] + counters["packets_no_service"] > 500, \
    f"expected over 500 packets malformed or without a service: {counters}"
print("1 passed, 0 failed")
P
refusals=$(grep -c ' 4001 ' "$DIR/log1")
[ "$refusals" -le 20 ] # peer links and request links each log at most once a second
kill -TERM "${NODE_PID[1]}"
wait "${NODE_PID[1]}"
