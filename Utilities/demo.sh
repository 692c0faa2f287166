#!/usr/bin/env bash
# Installs, builds, starts a local deployment, sends drafts and bookings, shows
# the answers and the status, and stops everything by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install.sh
cmake --preset release >/dev/null
cmake --build --preset release
Bin=$PWD/build/release/bin
Folder=$(mktemp -d)
source Utilities/deployment.sh
trap 'stopDeployment; rm -rf "$Folder"' EXIT

echo "== start: 3 availability zones, 4 entries, 12 assistant replicas, 3 booking desks"
startDeployment
echo "== plan and accept the configuration"
acceptConfiguration
waitFor 11 inForce 1

echo "== a draft, streamed"
curl -sS -N -H 'Mangocart-Customer: school-groups' \
  -d '{"prompt":"Which strawberry rows are open on Sunday?","max_tokens":5}' \
  "http://127.0.3.2:$CallerPort/v1/drafts"
echo "== a booking, and the same booking sent again"
for _ in 1 2; do
  curl -sS -H 'Mangocart-Customer: school-groups' -H 'Idempotency-Key: row-7-sunday' \
    -d '{"row":7,"day":"Sunday"}' "http://127.0.2.1:$CallerPort/bookings"
  echo
done

echo "== 10,000 requests from 64 callers through 4 entries, each answer checked"
Targets=()
for Address in "${EntryAddresses[@]}"; do Targets+=(--target "$Address:$CallerPort"); done
Judges=()
for File in "$Folder"/runs/booking-desk-*; do Judges+=(--judge "$File"); done
"$Bin/mangocart-load" "${Targets[@]}" --callers 64 --requests 10000 --mix 3:1 \
  --max-tokens 8 --customers school-groups --resend-probability 0.1 --seed 1 \
  "${Judges[@]}"

echo "== status"
"$Bin/mangocart" status --admin "127.0.1.1:$AdminPort"
echo "== last events of all processes, in one order"
"$Bin/mangocart" timeline "$Folder"/logs/*.jsonl | tail -5
echo "== stop"
