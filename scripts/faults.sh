#!/usr/bin/env bash
# Applies failures to real processes under load and checks every caller's answer against the
# stand-ins' journals: scripts/faults.sh [--short] [--only "NAME[+NAME]"] [--seed N] [--json FILE]
# Requires a build (scripts/build.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 tests/faults/checks_test.py
exec python3 tests/faults/driver.py "$@"
