#!/usr/bin/env bash
# Compares the settings tables in docs/ with the output of --describe-settings, or with --write
# rewrites the tables: scripts/settings_reference.sh [--write]
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - "${1:-}" <<'PY'
import pathlib
import subprocess
import sys

begin, end = "<!-- settings -->\n", "<!-- end of settings -->\n"
pages = {"docs/operating.md": "almondline-entry", "docs/platform.md": "almondline-gateway"}
for name, program in pages.items():
    page = pathlib.Path(name)
    text = page.read_text()
    table = subprocess.run([f"build/release/bin/{program}", "--describe-settings"],
                           capture_output=True, text=True, check=True).stdout
    head, rest = text.split(begin)
    tail = rest.split(end)[1]
    wanted = head + begin + "\n" + table + "\n" + end + tail
    if sys.argv[1] == "--write":
        page.write_text(wanted)
    elif wanted != text:
        sys.exit(f"{name}: the settings table differs; run scripts/settings_reference.sh --write")
PY
