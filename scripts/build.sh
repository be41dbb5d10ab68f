#!/usr/bin/env bash
# Builds a preset (default: release): scripts/build.sh [PRESET]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
