#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need. Runs as root on Debian 12.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang clang-format clang-tidy curl
    libboost1.81-dev libboost-json1.81-dev libthrift-dev libgflags-dev liblog4cplus-dev
    libgtest-dev libgmock-dev librapidcheck-dev libbenchmark-dev libxxhash-dev libssl-dev
)
missing=()
for it in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' || missing+=("$it")
done
if [ "${#missing[@]}" -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -q >/dev/null
    apt-get install -y -q "${missing[@]}" >/dev/null
fi
