#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all sources. Skips a file that has passed before with the same
# content, settings and project headers that it includes. Requires a build in build/, which knows these headers.
set -euo pipefail
cd "$(dirname "$0")/.."
cache="${XDG_CACHE_HOME:-$HOME/.cache}/cardamompaddle-lint"
mkdir -p "$cache"
if [ "$#" -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- 'src/*.cc' 'platform/*.cc' 'testing/*.cc' | grep -v '/gen/')
fi
# One line for each compiled source: its path and the paths of the project's files that it includes.
includes=$(mktemp)
trap 'rm -f "$includes"' EXIT
ninja -C build -t deps | awk -v root="$PWD/" '
    /^[^ ]/ { if (line != "") print line; line = ""; next }
    { path = $1; if (index(path, root) == 1) path = substr(path, length(root) + 1); sub(/^\.\.\//, "", path) }
    path ~ /^(src|platform|testing)\// { line = line (line == "" ? "" : " ") path }
    END { if (line != "") print line }' >"$includes"
check() {
    local file=$1 key included
    included=$(grep -m 1 "^$file\( \|$\)" "$includes" || true)
    # Of a source that is not compiled, all headers may matter.
    [ -n "$included" ] || included="$file $(git ls-files -- 'src/*.h' 'platform/*.h' 'testing/*.h')"
    key="$cache/$(cat .clang-tidy $included | sha256sum | cut -c1-40)"
    [ -e "$key" ] && return 0
    if clang-tidy -p build --quiet "$file" 2>/dev/null >"$key.out.$$"; then
        mv "$key.out.$$" "$key"
    else
        cat "$key.out.$$"; rm -f "$key.out.$$"; return 1
    fi
}
export -f check
export cache includes
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check "$1"' _ {}
