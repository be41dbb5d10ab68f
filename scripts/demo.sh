#!/usr/bin/env bash
# Installs what is missing, builds, and shows a small fleet on loopback at work: scripts/demo.sh
# Everything that it starts is stopped at the end, on Ctrl-C and on failure.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
exec python3 tests/demo.py
