#!/bin/bash
# Counts the lines, without empty ones and those of C comments, of the decision
# logic (packages/core and accepted.c), of the tests, and of the scaffolding
# (stand-ins, benches, scripts).
cd "$(dirname "$0")/.."
count_lines() { git ls-files "$@" | xargs cat | grep -cvE '^\s*(/?\*|//|$)'; }
all=$(count_lines 'packages/*/src/*' 'packages/*/include/*' 'standins/*' 'bench/*' 'packages/*/test/*' 'test/*' 'scripts/*')
decisions=$(count_lines 'packages/core/src/*' 'packages/store/src/accepted.c')
tests=$(count_lines 'packages/*/test/*' 'test/*')
scaffolding=$(count_lines 'standins/*' 'bench/*' 'scripts/*')
for part in decisions tests scaffolding; do
    echo "$part: ${!part} of $all lines, $((100 * ${!part} / all))%"
done
