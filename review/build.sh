#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They are Python, which tests/run.sh uses as well (python3 in .ci/run), with
# its standard library alone: there is nothing to compile, so this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing; .ci/run installs it"; exit 1; }
python3 - <<'PYTHON'
import ast
import glob
import sys
import tomllib  # since Python 3.11

for path in glob.glob("lib/*.py") + glob.glob("[0-9]/*.py"):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
print("stand-ins: ready, Python", sys.version.split()[0])
PYTHON
