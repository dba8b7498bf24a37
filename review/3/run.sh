#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Run it after the build of deploy/system.toml and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case=target/review/case-$(basename "$here")
[ -x "$case" ] && [ -x target/platform/cardamompaddle-entry ] || exit 2
TROUBLE=${TROUBLE:-1} exec "$case" "$here"
