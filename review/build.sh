#!/usr/bin/env bash
# The stand-ins are scripts of the standard library: they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -S - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
PYTHON
