#!/usr/bin/env bash
# docs/EVENTS.md must have a whole row for each event of Catalogue.def with the
# same number, name and level, and none besides. Needs no built program; the
# build folder is taken as an argument like by the other page checks.
set -euo pipefail
cd "$(dirname "$0")/.."
Catalogue=Source/Events/Catalogue.def
Page=docs/EVENTS.md
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT

# An entry may run over several lines; comments don't count.
sed 's|^ *//.*||' "$Catalogue" | tr '\n' ' ' |
  grep -oE 'MANGOCART_EVENT\( *[0-9]+ *, *[A-Za-z0-9]+ *, *[A-Za-z]+ *,' |
  sed -E 's/MANGOCART_EVENT\( *([0-9]+) *, *([A-Za-z0-9]+) *, *([A-Za-z]+) *,/\1 \2 \L\3/' \
  >"$Scratch/catalogue"
awk -F'|' '/^\| *[0-9]+ *\|/ {
  for (Column = 2; Column <= 7; ++Column) gsub(/^ +| +$/, "", $Column)
  print $2, $3, $4
}' "$Page" >"$Scratch/page"

Failed=0
diff <(sort "$Scratch/catalogue") <(sort "$Scratch/page") >"$Scratch/difference" || {
  echo "$Page and $Catalogue differ (< only in the catalogue, > only in the page):"
  grep '^[<>]' "$Scratch/difference"
  Failed=1
}
for Column in 1 2; do
  Doubled=$(cut -d' ' -f"$Column" "$Scratch/catalogue" | sort | uniq -d)
  [ -z "$Doubled" ] || { echo "$Catalogue: used more than once:" $Doubled; Failed=1; }
done
awk -F'|' -v Page="$Page" '/^\| *[0-9]+ *\|/ {
  for (Column = 5; Column <= 7; ++Column)
    if (NF != 8 || $Column ~ /^ *$/) {
      print Page ":" NR ": expected six filled columns: number, name, level, meaning, fields, what to do"
      Bad = 1
      next
    }
} END { exit Bad }' "$Page" || Failed=1
exit "$Failed"
