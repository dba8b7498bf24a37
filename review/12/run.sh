#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for it in target/platform/cardamompaddle-entry target/review-3/review-3; do
    [ -x "$it" ] || { echo "$it is missing: build the deploy file and run review/build-3.sh"; exit 2; }
done
RECORD=review/12/record.txt timeout 115 target/review-3/review-3 awakened-scheduler
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
