#!/usr/bin/env bash
# clang-tidy must be clean. A file is passed over when it, the project's headers
# that it includes, the checks and the linter are the same as at its last clean
# run; the stamps are kept beside the compiler's cache, so that a fresh checkout
# finds them. MANGOCART_JOBS bounds the files at a time.
set -euo pipefail
BuildDir=${1:?build folder}
cd "$(dirname "$0")/.."
Root=$PWD
Scratch="$BuildDir/lint"
Stamps="${XDG_CACHE_HOME:-$HOME/.cache}/mangocart-lint"
mkdir -p "$Scratch" "$Stamps"
Linter=$(clang-tidy --version | sha256sum | cut -c1-8)
# The linter can't read the compiler's precompiled headers: without them, each
# file must also name every header that it uses.
sed -E 's/-Winvalid-pch -include [^ ]+cmake_pch\.hxx//' \
  "$BuildDir/compile_commands.json" >"$Scratch/compile_commands.json"
# One line a source: its path, then the project's headers that it includes, as
# the build recorded them.
ninja -C "$BuildDir" -t deps 2>/dev/null | awk -v root="$Root/" '
  /^[^ ].*: #deps/ { if (line) print line; line = "" }
  /^    / {
    path = $1
    if (path !~ /^\//) next
    if (index(path, root) != 1 || path ~ /cmake_pch/ || path ~ /\/build\//) next
    line = line (line ? " " : "") substr(path, length(root) + 1)
  }
  END { if (line) print line }' >"$Scratch/dependencies"
lintOne() {
  local File=$1 Headers Key Stamp
  Headers=$(grep -m1 "^$File\( \|\$\)" "$Scratch/dependencies" || true)
  if [ -z "$Headers" ]; then
    Headers="$File $(git ls-files 'Source/*.h' 'Tests/*.h' 'platform/*.h')"
  fi
  # shellcheck disable=SC2086
  Key=$(cat .clang-tidy $Headers 2>/dev/null | sha256sum | cut -c1-24)
  Stamp="$Stamps/${File//\//_}.$Linter.$Key"
  [ -e "$Stamp" ] && return 0
  clang-tidy --quiet -p "$Scratch" "$File" 2>/dev/null || { echo "lint: $File"; return 1; }
  touch "$Stamp"
}
export -f lintOne
export Stamps Scratch Linter
git ls-files 'Source/*.cpp' 'Tests/*.cpp' 'platform/*.cpp' | grep -v '/Generated/' |
  xargs -P "${MANGOCART_JOBS:-$(nproc)}" -I{} bash -c 'lintOne {}'
