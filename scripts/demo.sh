#!/usr/bin/env bash
# Installs missing packages, builds, and demonstrates a small fleet on loopback: scripts/demo.sh
# Stops everything that it started at the end, on Ctrl-C and on failure.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/packages.sh
scripts/build.sh
exec python3 tests/demo.py
