#!/bin/bash
# Runs all cases of review/ on a clone of the last commit, as the cases write
# records beside themselves: each with its trouble, and with TROUBLE=0.  A case
# that could not run (exit code 2) has failed.
# review.sh [RUNS [CASE...]]; JOBS (4) cases at a time.
set -eu
cd "$(dirname "$0")/.."
RUNS=${1:-1}
[ $# -gt 0 ] && shift
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
git clone -q . "$FOLDER"
cd "$FOLDER"
{
    bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
    review/build.sh
    review/build-2.sh
    review/build-3.sh
} >build.log 2>&1 || {
    cat build.log >&2
    exit 1
}
[ $# -gt 0 ] || set -- $(ls -d review/[0-9]* | sed 's|review/||' | sort -n)

run_case() { # CASE RUN TROUBLE
    code=0
    TROUBLE=$3 "review/$1/run.sh" >"log-$1-$2-$3" 2>&1 || code=$?
    echo "review/$1 run $2 TROUBLE=$3: exit code $code, $(tail -n 1 "log-$1-$2-$3")"
    return $code
}
export -f run_case

for run in $(seq "$RUNS"); do
    for case in "$@"; do
        echo "$case $run 1"
        [ "$run" -gt 1 ] || echo "$case $run 0"
    done
done | xargs -P "${JOBS:-4}" -L 1 bash -c 'run_case "$@"' case
