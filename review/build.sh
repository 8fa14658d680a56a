#!/usr/bin/env bash
# The stand-ins are Python files of the standard library alone: nothing is built. Checks that they can be started.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import ast, pathlib, sys, tomllib
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins: nothing to build")
CHECK
