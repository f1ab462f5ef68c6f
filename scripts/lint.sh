#!/bin/sh
# Checks the format of all C and C++ files and runs clang-tidy and cppcheck
# over the C code.  lint.sh [BUILD]
set -eu
BUILD=${1:-build}
git ls-files '*.c' '*.h' '*.cc' | xargs clang-format --dry-run --Werror
git ls-files '*.c' | xargs -P "$(nproc)" -n 4 clang-tidy -p "$BUILD" --quiet 2>/dev/null
cppcheck --quiet --error-exitcode=1 --enable=warning,performance,portability \
    --inline-suppr --suppress=missingIncludeSystem --library=posix \
    -j "$(nproc)" packages standins
echo "lint: formatter, clang-tidy and cppcheck clean"
