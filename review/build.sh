#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -pthread -Ireview/lab -DBOOST_JSON_NO_LIB)
g++ "${flags[@]}" -c review/lab/lab.cc -o target/review/lab.o &
for it in review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$it")")
    g++ "${flags[@]}" -c "$it" -o "target/review/case-$number.o" &
done
for job in $(jobs -p); do
    wait "$job"
done
for it in review/[0-9]*/case.cc; do
    number=$(basename "$(dirname "$it")")
    g++ -pthread "target/review/case-$number.o" target/review/lab.o -o "target/review/case-$number"
done
