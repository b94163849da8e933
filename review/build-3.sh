#!/usr/bin/env bash
# Builds what the scripts of the third review start. The daemons' packages are
# built by the deploy file; the stand-ins are Python files without packages.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile standins3/*.py 11/*.py 12/*.py
