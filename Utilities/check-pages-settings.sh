#!/usr/bin/env bash
# docs/settings/ must have a page for each field of the schema that is written
# in TOML, with the facts that the schema states, and none besides;
# docs/commands/ a page for each command that names each of its options with its
# default, and none besides.
set -euo pipefail
BuildDir=${1:?build folder}
cd "$(dirname "$0")/.."
Program="$BuildDir/bin/mangocart"
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
Failed=0
fail() {
  echo "$*"
  Failed=1
}

# ---- Settings: the table of a page must be the rows that the program prints.
"$Program" reference settings >"$Scratch/settings"
awk -v Folder="$Scratch/facts" '
  !/^\|/ { File = Folder "/" $0 ".md"; Sub = File; sub(/\/[^\/]*$/, "", Sub)
           system("mkdir -p " Sub); printf "" >File; next }
  { print >File }' "$Scratch/settings"
while read -r Page; do
  if [ ! -e "docs/settings/$Page" ]; then
    fail "docs/settings/$Page: missing; the schema has this setting"
    continue
  fi
  grep '^|' "docs/settings/$Page" | tail -n +3 >"$Scratch/rows" || true
  diff "$Scratch/facts/$Page" "$Scratch/rows" >"$Scratch/difference" ||
    fail "docs/settings/$Page: the table and the schema differ (< schema, > page):" \
      "$(grep '^[<>]' "$Scratch/difference")"
  [ "$(grep -vc '^|\|^#\|^$' "docs/settings/$Page")" -gt 0 ] ||
    fail "docs/settings/$Page: expected a text besides the table"
done < <(cd "$Scratch/facts" && find . -name '*.md' | sed 's|^\./||' | sort)
while read -r Page; do
  [ -e "$Scratch/facts/$Page" ] ||
    fail "docs/settings/$Page: superfluous; the schema has no such setting"
done < <(cd docs/settings && find . -mindepth 2 -name '*.md' | sed 's|^\./||' | sort)

# ---- Commands: rows "| `OPTION` | default | meaning |".
"$Program" reference commands >"$Scratch/commands"
cut -f1 "$Scratch/commands" | sort -u >"$Scratch/names"
while read -r Name; do
  Page="docs/commands/$Name.md"
  if [ ! -e "$Page" ]; then
    fail "$Page: missing; mangocart has this command"
    continue
  fi
  awk -F'\t' -v Name="$Name" '$1 == Name && $2 != "" { print $2 "|" $3 }' \
    "$Scratch/commands" | sort >"$Scratch/options"
  sed -nE 's/^\| `([^`]+)` \| ([^|]*) \|.*/\1|\2/p' "$Page" | sort >"$Scratch/rows"
  diff "$Scratch/options" "$Scratch/rows" >"$Scratch/difference" ||
    fail "$Page: the options and the program differ (< program, > page):" \
      "$(grep '^[<>]' "$Scratch/difference")"
  # An option in the text must be one of the command's, or of all commands.
  while read -r Option; do
    grep -q -- "^$Option\([ |]\|$\)" "$Scratch/options" ||
      fail "$Page: $Option: mangocart $Name has no such option"
  done < <(grep -v '`mangocart [a-z]* ' "$Page" | grep -oE -- '--[a-z][a-z-]*' | sort -u | grep -vE '^--(help|version)$')
done <"$Scratch/names"
for Page in docs/commands/*.md; do
  Name=$(basename "$Page" .md)
  [ "$Name" = README ] || grep -qx "$Name" "$Scratch/names" ||
    fail "$Page: superfluous; mangocart has no such command"
done
exit "$Failed"
