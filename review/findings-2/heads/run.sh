#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../../.." || exit 2
if [[ ! -x target/bin/almondline-gateway ]]; then
    echo "target/bin/almondline-gateway is missing: run the build of deploy/system.toml" >&2
    exit 2
fi
timeout --kill-after=5 115 python3 -B review/findings-2/heads/case.py
status=$?
if ((status > 2)); then
    exit 2
fi
exit "$status"
