#!/usr/bin/env bash
# Runs every check that docs/PROOFS.md lists: the tests with another seed, the long randomised run of the
# simulated cluster, and the tests with real processes.
# Usage: [BUILD_DIR=build] scripts/prove.sh [--seed N] [--minutes N]
# Ends with "prove: N passed, M failed"; exits 0 only if none failed.
set -uo pipefail
cd "$(dirname "$0")/.."
seed=$((RANDOM * 32768 + RANDOM))
minutes=1
while [ "$#" -gt 0 ]; do
    case "$1" in
        --seed) seed=$2; shift 2 ;;
        --minutes) minutes=$2; shift 2 ;;
        *) echo "unknown option $1" >&2; exit 2 ;;
    esac
done
folder=${BUILD_DIR:-build}
passed=0
failed=0
prove() {
    local name=$1
    shift
    if "$@" >"$folder/prove.out" 2>&1; then
        passed=$((passed + 1))
        echo "ok $name: $(tail -n 1 "$folder/prove.out")"
    else
        failed=$((failed + 1))
        echo "not ok $name:"
        tail -n 25 "$folder/prove.out"
    fi
}
scripts/install.sh || exit 1
cmake -S . -B "$folder" -G Ninja >/dev/null && cmake --build "$folder" >"$folder/build.out" || { tail -n 20 "$folder/build.out"; exit 1; }
echo "seed $seed, $minutes minutes"
mapfile -t tests < <(sed -n 's/.*`\([A-Za-z_0-9]*\.[A-Za-z_0-9]*\)`.*/\1/p' docs/PROOFS.md | sort -u)
for it in "${tests[@]}"; do
    ctest --test-dir "$folder" -N -R "^$it\$" | grep -q 'Total Tests: 1' ||
        { echo "not ok $it: listed in docs/PROOFS.md, but unknown to ctest"; failed=$((failed + 1)); }
done
# Runs the test programs directly: the property tests read their seed from RC_PARAMS, which ctest sets to the
# fixed seed of CI.
for it in "$folder"/src/*/*_test; do
    prove "$(basename "$it")" env RC_PARAMS="seed=$seed" "$it" --gtest_brief=1
done
prove cluster_run "$folder/src/proof/cluster_run" --seed="$seed" --minutes="$minutes"
prove process_test env BUILD_DIR="$folder" scripts/process_test.sh --no-build
echo "prove: $passed passed, $failed failed"
[ "$failed" = 0 ]
