#!/bin/bash
# Runs the fault soak with SEEDS consecutive seeds from FIRST (default:
# random), three at a time; the output of each is kept.
# soak.sh [BUILD] [SEEDS] [FIRST]
set -u
BUILD=${1:-build}
SEEDS=${2:-12}
FIRST=${3:-$((RANDOM * 10))}
out=$(mktemp -d)
seq "$FIRST" $((FIRST + SEEDS - 1)) | xargs -P 3 -I SEED bash -c \
    'test/soak/soak.py "$0/bin/masticvaned" --seed SEED --seconds 20 --net $((SEED % 100 + 100)) >"$1/SEED" 2>&1 || echo "seed SEED failed: $1/SEED"' \
    "$BUILD" "$out" | tee "$out/failed"
failed=$(wc -l <"$out/failed")
echo "$((SEEDS - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
