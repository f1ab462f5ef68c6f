#!/bin/sh
# The stand-ins of the cases are Python programs of the standard library alone:
# nothing has to be compiled.  Checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "standins"); import sim'
