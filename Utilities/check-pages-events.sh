#!/usr/bin/env bash
# docs/EVENTS.md must have a whole row for each event of Catalogue.def with the
# same number, name and level, and none besides; a row must name the fields that
# the code writes with the event. Needs no built program; the
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
# "Name field" for each field of a call write(Event::Name, {{"field", ...}...}).
git ls-files 'Source/*.cpp' | xargs perl -0777 -ne '
  while (/\bwrite\(\s*Event::(\w+),(.*?)\);/sg) {
    my ($Name, $Fields) = ($1, $2);
    print "$Name $1\n" while $Fields =~ /\{\s*"(\w+)"\s*,/g;
  }' | sort -u >"$Scratch/fields"
while read -r Name Field; do
  grep -E "^\| *[0-9]+ *\| *$Name *\|" "$Page" | grep -qF "\`$Field\`" || {
    echo "$Page: the row of $Name doesn't name the field $Field that the code writes"
    Failed=1
  }
done <"$Scratch/fields"
exit "$Failed"
