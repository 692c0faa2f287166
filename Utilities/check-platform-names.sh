#!/usr/bin/env bash
# Names of the users' platform on the wire stand in platform/ only, tests aside.
# Checked are the headers, and the paths, fields and words that no message of the
# project's own schema uses as well.
set -euo pipefail
cd "$(dirname "$0")/.."
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
cat Source/Schema/*.proto >"$Scratch/schema"
grep -oE '= "[^"]+"' platform/PlatformNames.h | sed -E 's/^= "(.*)"$/\1/' |
  grep -E '^X-|^At-|^/|_' | sort -u | while read -r Name; do
  grep -qwF -- "$Name" "$Scratch/schema" || echo "\"$Name\""
done >"$Scratch/names"
if git ls-files 'Source/*' 'Modules/*' 'Benchmarks/*' | grep -v /Generated/ |
  xargs grep -nFf "$Scratch/names"; then
  echo "names of the platform outside platform/ (above)"
  exit 1
fi
