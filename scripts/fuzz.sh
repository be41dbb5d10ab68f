#!/usr/bin/env bash
# Builds the libFuzzer programs and runs each for SECONDS: scripts/fuzz.sh [SECONDS [TARGET...]]
# Default: 20 s, all targets; 4 run at a time. Prints one line per target, and writes findings and
# logs to build/fuzz/findings. Exits with 1 if there is a finding.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-20}
shift || true
scripts/build.sh fuzz
cd build/fuzz
mkdir -p findings
export seconds

run_target() {
    local name=$1 corpus=../../src/fuzz/corpus/$1 grown=grown/$1 log=findings/$1.log
    mkdir -p "$grown"
    local result=ok
    "bin/fuzz_$name" -max_total_time="$seconds" -max_len=4096 -timeout=10 -rss_limit_mb=1024 \
        -seed=1 -print_final_stats=1 -artifact_prefix="findings/$name-" \
        "$grown" "$corpus" >"$log" 2>&1 || result=FINDING
    local rate runs
    rate=$(sed -n 's/^stat::average_exec_per_sec: *//p' "$log")
    runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")
    echo "$name $result runs=${runs:-?} per_second=${rate:-?}"
}
export -f run_target

if (($# == 0)); then
    for it in bin/fuzz_*; do
        set -- "$@" "${it#bin/fuzz_}"
    done
fi
# shellcheck disable=SC2016
printf '%s\n' "$@" | xargs -P 4 -I{} bash -c 'run_target "$1"' _ {} | tee findings/summary
! grep -q FINDING findings/summary
