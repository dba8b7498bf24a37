#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the third review into target/review-3.
# Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/lab-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j8 --target review-3
