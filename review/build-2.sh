#!/usr/bin/env bash
# Builds what the scripts of the second review start besides almondline-gateway, which the build of
# deploy/system.toml makes. Their callers, replicas, store and platform are Python programs
# (tests/platform_standins, review/support-2 and review/N/case.py): nothing is compiled, but this
# checks that they can be read and that the version of Python suffices.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
paths = [*Path("tests/platform_standins").glob("*.py"), *Path("review/support-2").glob("*.py"),
         Path("review/findings-2/heads/case.py"),
         *(Path("review") / str(n) / "case.py" for n in range(6, 11))]
for path in paths:
    if path.exists():
        ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
if [[ ! -x target/bin/almondline-gateway ]]; then
    echo "run the build of deploy/system.toml first" >&2
    exit 1
fi
