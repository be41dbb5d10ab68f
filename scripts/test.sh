#!/usr/bin/env bash
# Installs missing packages, builds and runs the tests: scripts/test.sh [PRESET]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
scripts/packages.sh
scripts/build.sh "$preset"
ctest --preset "$preset" -j 4 -LE known-red
if [[ -f KNOWN-RED.txt ]]; then
    cat KNOWN-RED.txt
fi
