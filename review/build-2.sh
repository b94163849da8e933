#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib

for folder in ("standins2", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
CHECK
