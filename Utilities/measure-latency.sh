#!/usr/bin/env bash
# Measures the latency that the path through entry and agent adds to a stand-in
# called directly, in the same run, and the requests a second through one entry on
# 4 workers. Figures go to docs/MEASUREMENTS.md by hand, after the run.
set -euo pipefail
cd "$(dirname "$0")/.."
Bin=$PWD/${1:-build/release}/bin
Folder=$(mktemp -d)
ServiceTimeMs=0
TokenIntervalMs=0
Slots=512
Workers=4
source Utilities/deployment.sh
trap 'stopDeployment; rm -rf "$Folder"' EXIT
startDeployment
acceptConfiguration >/dev/null
waitFor 11 inForce 1

Direct=()
for Number in $(seq 1 12); do
  Direct+=(--target "127.0.$((Number % 3 + 1)).$((10 + Number)):$BackendPort")
done
Through=()
for Address in "${EntryAddresses[@]}"; do Through+=(--target "$Address:$CallerPort"); done
Drafts=(--mix 1:0 --max-tokens 1 --customers school-groups --workers 4)

load() { "$Bin/mangocart-load" "$@" | grep -E "requests in|first byte|broken promises"; }
entrySeconds() {
  awk '{print ($14 + $15) / 100}' "/proc/$(cat "$Folder/pids/$1")/stat"
}

for Round in 1 2 3; do
  echo "== round $Round: 64 callers, drafts, directly"
  load "${Direct[@]}" --direct "${Drafts[@]}" --callers 64 --requests 20000 --seed "$Round"
  echo "== round $Round: 64 callers, drafts, through 4 entries"
  load "${Through[@]}" "${Drafts[@]}" --callers 64 --requests 20000 --seed "$Round"
  echo "== round $Round: 8 callers, drafts, directly, then through 4 entries"
  load "${Direct[@]}" --direct "${Drafts[@]}" --callers 8 --requests 8000 --seed "$Round"
  load "${Through[@]}" "${Drafts[@]}" --callers 8 --requests 8000 --seed "$Round"
done
for Rate in 1100 5000; do
  echo "== 64 callers, $Rate drafts a second, directly, then through 4 entries"
  load "${Direct[@]}" --direct "${Drafts[@]}" --callers 64 --rate "$Rate" --requests 20000 --seed "$Rate"
  load "${Through[@]}" "${Drafts[@]}" --callers 64 --rate "$Rate" --requests 20000 --seed "$Rate"
done
echo "== 64 callers, drafts, through one entry"
Before=$(entrySeconds entry-a)
load --target "127.0.1.1:$CallerPort" "${Drafts[@]}" --callers 64 --requests 40000 --seed 9
echo "processor seconds of the entry for 40000 requests: $Before to $(entrySeconds entry-a)"
echo "== bookings (claimed and settled with syncs on 3 disks): 1 caller, then 64, through 4 entries"
load "${Through[@]}" --mix 0:1 --customers school-groups --callers 1 --requests 500 --seed 10
load "${Through[@]}" --mix 0:1 --customers school-groups --callers 64 --requests 10000 --seed 11
