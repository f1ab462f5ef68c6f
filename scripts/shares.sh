#!/bin/bash
# Lines of C by purpose: decisions, other code, tests and stand-ins.
cd "$(dirname "$0")/.."
count() { git ls-files "$@" | xargs cat | grep -cvE '^\s*(/?\*|//|$)'; }
all=$(count 'packages/*/src/*' 'packages/*/include/*' 'standins/*' 'bench/*' 'packages/*/test/*' 'test/*' 'scripts/*')
decisions=$(count 'packages/core/src/*' 'packages/store/src/accepted.c')
tests=$(count 'packages/*/test/*' 'test/*')
scaffolding=$(count 'standins/*' 'bench/*' 'scripts/*')
for part in decisions tests scaffolding; do
    echo "$part: ${!part} of $all lines, $((100 * ${!part} / all))%"
done
