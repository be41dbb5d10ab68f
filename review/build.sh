#!/usr/bin/env bash
# Builds what the scripts of review/ start beside target/bin/almondline-gateway. All stand-ins are
# plain Python with the standard library only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
