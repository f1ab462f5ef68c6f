#!/bin/bash
# Builds the stand-ins of cases 11 to 15.  They are Python scripts: nothing is
# compiled, their syntax is checked.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'P'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "needs Python 3.11 (tomllib)"
for path in [*pathlib.Path("standins-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]:
    ast.parse(path.read_text(), str(path))
P
