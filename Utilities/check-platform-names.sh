#!/usr/bin/env bash
# Names of the users' platform on the wire stand in platform/ only, tests aside.
# Checked are the headers, and the paths, fields and words that no message of the
# project's own schema uses as well.
set -euo pipefail
cd "$(dirname "$0")/.."
Names=platform/PlatformNames.h
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
grep -oE '= "[^"]+"' "$Names" | sed -E 's/^= "(.*)"$/\1/' |
  grep -E '^X-|^At-|^/|_' | sort -u >"$Scratch/names"
cat Source/Schema/*.proto >"$Scratch/schema"
Failed=0
while read -r Name; do
  grep -qwF -- "$Name" "$Scratch/schema" && continue
  Found=$(git ls-files 'Source/*' 'Utilities/*' 'Modules/*' 'Benchmarks/*' |
    grep -v '/Generated/\|check-platform-names' |
    xargs grep -nF -- "\"$Name" || true)
  [ -z "$Found" ] || { echo "the platform's name $Name outside platform/:"; echo "$Found"; Failed=1; }
done <"$Scratch/names"
exit "$Failed"
