#!/bin/bash
# Builds what the scripts of review/6 and later start: the stand-ins are Python
# (standard library alone), so this only checks that they can be read.  The
# daemon comes from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for source in review/standins-2/sim.py review/{6,7,8,9,10}/play.py; do
    if [ -f "$source" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
    fi
done
