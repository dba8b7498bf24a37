#!/usr/bin/env bash
# Plays the case of claim.txt; see review/lab-2/play.sh. An optional argument is the seed.
exec "$(dirname "$0")/../lab-2/play.sh" lease "$(dirname "$0")" "$@"
