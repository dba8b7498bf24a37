#!/usr/bin/env bash
# Builds the stand-ins of the second review (review/lab-2) on the libraries that the build of
# deploy/system.toml has left in target/. The result is target/review-2/lab.
set -euo pipefail
cd "$(dirname "$0")/.."
for it in target/platform/cardamompaddle-entry target/platform/libcp_adapter.a; do
    if [ ! -e "$it" ]; then
        echo "review/build-2.sh: $it is missing; build deploy/system.toml first" >&2
        exit 2
    fi
done
cmake -S review/lab-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j "$(nproc)"
