#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all sources. Skips a file that has passed before with the same
# content, headers and settings.
set -euo pipefail
cd "$(dirname "$0")/.."
cache="${XDG_CACHE_HOME:-$HOME/.cache}/cardamompaddle-lint"
mkdir -p "$cache"
if [ "$#" -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- 'src/*.cc' 'platform/*.cc' | grep -v '/gen/')
fi
headers=$(git ls-files --cached --others --exclude-standard -- 'src/*.h' 'platform/*.h' .clang-tidy | sort -u | xargs cat | sha256sum | cut -c1-20)
check() {
    local file=$1 key
    key="$cache/$2-$(sha256sum <"$file" | cut -c1-20)"
    [ -e "$key" ] && return 0
    if clang-tidy -p build --quiet "$file" 2>/dev/null >"$key.out.$$"; then
        mv "$key.out.$$" "$key"
    else
        cat "$key.out.$$"; rm -f "$key.out.$$"; return 1
    fi
}
export -f check
export cache
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check "$1" "$2"' _ {} "$headers"
