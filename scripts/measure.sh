#!/usr/bin/env bash
# Builds and runs the measurements: scripts/measure.sh [policy|slopes|control] [OPTION...] (default: policy, slopes)
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release
bench=build/release/bin/almondline-bench
if (($#)); then
    exec "$bench" "$@"
fi
"$bench" policy --out out
"$bench" slopes
