#!/usr/bin/env bash
# Checks the format and runs the linter with warnings as errors: scripts/lint.sh [FILE...]
# Without arguments it checks all sources except generated code.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
[[ -f $build/compile_commands.json ]] || cmake --preset release >/dev/null
if (($#)); then
    sources=("$@")
else
    mapfile -t sources < <(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | grep -v '/generated/')
fi
clang-format-14 --dry-run --Werror "${sources[@]}"
# GCC 12 destroys aggregate temporaries within a co_await expression twice.
if grep -nP 'co_await [^;]*(?<!R")[(,{]\s*\{' "${sources[@]}"; then
    echo "name the value before co_await instead of passing a braced temporary" >&2
    exit 1
fi
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
# clang 14 implements coroutines but does not define the C++20 feature macro.
printf '%s\0' "${units[@]}" | xargs -0 -P "$(nproc)" -n 1 clang-tidy-14 -p $build --quiet \
    --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-Wno-unknown-warning-option \
    2> >(grep -v -E 'warnings? (generated|treated)|Suppressed|Use -header-filter' >&2)
shellcheck scripts/*.sh .ci/run
