#!/usr/bin/env bash
# Fails if a committed example differs from the output of examples/generate_manifest.py.
set -euo pipefail
cd "$(dirname "$0")/../../../examples"
for deployment in shelfmark goldfields; do
    python3 generate_manifest.py "$deployment" | diff - "$deployment.json"
done
