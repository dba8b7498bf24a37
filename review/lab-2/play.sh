#!/usr/bin/env bash
# Plays a scenario of the lab for a case: play.sh SCENARIO CASE-FOLDER TROUBLE SEED
# TROUBLE is 1, or 0 to play it without the disruption. Exit status: 0 the rule held, 1 it was broken, 2 the
# case could not run. The settings and logs of the processes go into a temporary folder.
set -uo pipefail
scenario=$1
folder=$(cd "$2" && pwd)
trouble=$3
seed=$4
cd "$(dirname "$0")/../.." || exit 2
lab=target/review-2/lab
entry=target/platform/cardamompaddle-entry # as in deploy/system.toml
if [ ! -x "$lab" ] || [ ! -x "$entry" ]; then
    echo "build deploy/system.toml and run review/build-2.sh first" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout 118 "$lab" "$scenario" --entry="$entry" --folder="$work" --record="$folder/record.txt" \
    --trouble="$trouble" --seed="$seed"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
