#!/usr/bin/env bash
# Plays soaks: real entry instances over an emulated platform, with faults from outside (docs/SOAK.md).
# Usage: [BUILD_DIR=build] scripts/soak.sh [--seeds FROM TO] [--minutes M] [--jobs N] [--logs FOLDER] [--entry PATH]
#        [-- OPTION...]
# --entry: plays this build of cardamompaddle-entry. What follows -- is handed to cardamompaddle-soak.
# Prints a line for each seed and a summary. Keeps the output and the logs of seeds that broke. Exits 0 only if
# nothing broke.
set -uo pipefail
cd "$(dirname "$0")/.."
from=1
to=1
minutes=1
jobs=1
build=${BUILD_DIR:-build}
logs=$build/soak
entry=
while [ "$#" -gt 0 ]; do
    case "$1" in
        --seeds) from=$2; to=$3; shift 3 ;;
        --minutes) minutes=$2; shift 2 ;;
        --jobs) jobs=$2; shift 2 ;;
        --logs) logs=$2; shift 2 ;;
        --entry) entry=$2; shift 2 ;;
        --) shift; break ;;
        *) echo "unknown option $1" >&2; exit 2 ;;
    esac
done
cmake -S . -B "$build" -G Ninja >/dev/null &&
    cmake --build "$build" --target cardamompaddle-entry cardamompaddle-soak >/dev/null || exit 2
mkdir -p "$logs"
# Later builds don't change the programs of a soak that is running.
programs=$(mktemp -d)
trap 'rm -rf "$programs"' EXIT
cp "${entry:-$build/platform/cardamompaddle-entry}" "$programs/cardamompaddle-entry"
cp "$build/testing/soak/cardamompaddle-soak" "$programs/"

# Plays one seed. Prints "ok" or "broken", and the last line of the summary.
play() {
    local seed=$1 folder=$logs/seed-$1
    shift
    rm -rf "$folder"
    mkdir -p "$folder"
    if "$programs/cardamompaddle-soak" --entry="$programs/cardamompaddle-entry" --seed="$seed" --minutes="$minutes" \
        --folder="$folder" "$@" >"$folder/output" 2>&1; then
        echo "ok $(grep '^seed ' "$folder/output")"
        rm -rf "$folder"
    else
        echo "broken $(grep '^seed ' "$folder/output" || tail -n 1 "$folder/output") (see $folder)"
    fi
}
export -f play
export programs minutes logs
results=$(seq "$from" "$to" | xargs -P "$jobs" -I{} bash -c 'play "$@"' play {} "$@" | tee /dev/stderr)
broken=$(grep -c '^broken' <<<"$results")
echo "soak: $(grep -c '^ok' <<<"$results") passed, $broken broken"
[ "$broken" -eq 0 ] && [ "$(wc -l <<<"$results")" -eq $((to - from + 1)) ]
