#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are Python programs without dependencies; the processes under
# test are built by the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib, asyncio; assert sys.version_info >= (3, 11)'
python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
