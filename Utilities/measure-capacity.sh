#!/usr/bin/env bash
# Prints the figures that docs/CAPACITY.md is worked out from. Takes about four
# minutes; processor times are best read on an idle machine.
set -euo pipefail
BuildDir=${1:-build/dev}
cd "$(dirname "$0")/.."
. Utilities/deployment.sh

run() {
  echo "== $*"
  "$BuildDir/Tests/$1" "${@:2}" |
    sed -E '/^=+$|^Filters|^test cases|^assertions|^All tests|^$/d'
}

# processorTicks PID: user and system time in ticks of 10 ms.
processorTicks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
residentKb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
# peerBytes ENTRY-ADDRESS: sent on the connections that the entry has opened.
peerBytes() {
  "$Bin/mangocart" metrics --admin "$1:$AdminPort" |
    awk '/^mangocart_peer_bytes_sent_total/ {print $2}'
}

# startAgent NUMBER: an agent whose backend server doesn't answer.
startAgent() {
  local Address=127.26.$(($1 % 3 + 10)).$(($1 + 1)) Zones=(a b c)
  localise -e "s#@NAME@#desk-$1#; s#@SERVICE@#assistant#; s#@ADDRESS@#$Address#" \
    "$Folder/init/agents/canelones-${Zones[$(($1 % 3))]}.toml" \
    >"$Folder/settings/desk-$1.toml"
  launch "desk-$1" mangocart-agent --settings "$Folder/settings/desk-$1.toml"
}

# atRest AGENTS: 4 entries and so many agents without any request, for 10 s.
atRest() {
  local Names=(entry-a entry-b entry-c1 entry-c2 desk-1) Name Number Pid
  local -A Before
  Folder=$(mktemp -d)
  mkdir -p "$Folder"/{pids,settings,logs,data}
  (umask 077 && echo "$AdminToken" >"$Folder/admin.token")
  sed 's/127\.0\./127.26./' "$Answers" >"$Folder/answers.toml"
  "$Bin/mangocart" init --answers "$Folder/answers.toml" --out "$Folder/init" >/dev/null
  for Name in entry-a entry-b entry-c1 entry-c2; do startEntry "$Name"; done
  sleep 4
  "$Bin/mangocart" plan --answers "$Folder/answers.toml" \
    --admin "127.26.1.1:$AdminPort" --out "$Folder/plan.json" >/dev/null
  "$Bin/mangocart" accept "$Folder/plan.json" --admin "127.26.1.1:$AdminPort" \
    --token-file "$Folder/admin.token" >/dev/null
  for Number in $(seq "$1"); do startAgent "$Number"; done
  sleep 5
  for Name in "${Names[@]}"; do
    Before[$Name]=$(processorTicks "$(cat "$Folder/pids/$Name")")
  done
  local Sent=$(peerBytes 127.26.3.2)
  sleep 10
  for Name in "${Names[@]}"; do
    Pid=$(cat "$Folder/pids/$Name")
    echo "4 entries, $1 agents at rest: $Name $(($(processorTicks "$Pid") - Before[$Name]))" \
      "ms of processor time a second, $(residentKb "$Pid") KB resident"
  done
  echo "4 entries, $1 agents at rest: entry-c2 sends $((($(peerBytes 127.26.3.2) - Sent) / 10))" \
    "B a second on the connections that it opened"
  stopDeployment
  rm -rf "$Folder"
}

run testCapacity '[.bench]'
run testMembership 'what a member costs'
run testState '[.bench]'
run testRaft 'commands per second and latency'
run testRaft 'traffic at rest'
Bin=$BuildDir/bin
for Agents in 5 15 45; do atRest "$Agents"; done
