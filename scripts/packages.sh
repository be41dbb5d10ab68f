#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache
    clang-14 clang-format-14 clang-tidy-14 libclang-rt-14-dev
    libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev
    libthrift-dev libcli11-dev doctest-dev libssl-dev libzstd-dev
    curl jq python3 shellcheck
)
missing=()
for name in "${packages[@]}"; do
    state=$(dpkg-query -W -f='${Status}' "$name" 2>/dev/null || true)
    if [[ "$state" != "install ok installed" ]]; then
        missing+=("$name")
    fi
done
if ((${#missing[@]} == 0)); then
    exit 0
fi
echo "installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
apt-get install -y -q --no-install-recommends "${missing[@]}" >/dev/null
