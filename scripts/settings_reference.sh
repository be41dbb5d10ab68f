#!/usr/bin/env bash
# Compares the settings table in docs/operating.md with the program's own description, or writes it:
# scripts/settings_reference.sh [--write]
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - "${1:-}" <<'PY'
import pathlib
import subprocess
import sys

begin, end = "<!-- settings -->\n", "<!-- end of settings -->\n"
page = pathlib.Path("docs/operating.md")
text = page.read_text()
table = subprocess.run(["build/release/bin/almondline-entry", "--describe-settings"],
                       capture_output=True, text=True, check=True).stdout
head, rest = text.split(begin)
tail = rest.split(end)[1]
wanted = head + begin + "\n" + table + "\n" + end + tail
if sys.argv[1] == "--write":
    page.write_text(wanted)
elif wanted != text:
    sys.exit("docs/operating.md: the settings table differs; run scripts/settings_reference.sh --write")
PY
