#!/usr/bin/env bash
# clang-tidy must be clean. A file whose text, headers and checks are the same
# as at its last clean run is passed over; the stamps live in the build folder.
set -euo pipefail
BuildDir=${1:?build folder}
cd "$(dirname "$0")/.."
Stamps="$BuildDir/lint"
mkdir -p "$Stamps"
# The linter can't read the compiler's precompiled headers: without them, each
# file must also name every header that it uses.
sed -E 's/-Winvalid-pch -include [^ ]+cmake_pch\.hxx//' \
  "$BuildDir/compile_commands.json" >"$Stamps/compile_commands.json"
# The headers of the whole tree are one key: any change of a header checks all.
HeaderKey=$({ cat .clang-tidy; git ls-files 'Source/*.h' 'Tests/*.h' 'Source/Schema/*.proto' | xargs cat; } | sha256sum | cut -c1-16)
lintOne() {
  local File=$1 Key Stamp
  Key=$({ echo "$HeaderKey"; cat "$File"; } | sha256sum | cut -c1-24)
  Stamp="$Stamps/${File//\//_}.$Key"
  [ -e "$Stamp" ] && return 0
  clang-tidy --quiet -p "$Stamps" "$File" 2>/dev/null || { echo "lint: $File"; return 1; }
  touch "$Stamp"
}
export -f lintOne
export HeaderKey Stamps BuildDir
git ls-files 'Source/*.cpp' 'Tests/*.cpp' | grep -v '/Generated/' |
  xargs -P "$(nproc)" -I{} bash -c 'lintOne {}'
