# Functions for a local deployment of Examples/los-ceibos: 3 availability zones on
# 127.0.x.y, 4 entries, 12 assistant replicas, 3 booking desks, each a process of
# its own. Source it, set Bin (programs) and Folder (files), then call
# startDeployment, acceptConfiguration and, at the end, stopDeployment.

AdminToken=0123456789abcdef0123456789abcdef
Answers=${Answers:-Examples/los-ceibos/answers.toml}
EntryAddresses=(127.0.1.1 127.0.2.1 127.0.3.1 127.0.3.2)
CallerPort=8080
AdminPort=8081
BackendPort=9000

# Starts a program and notes its process id: launch NAME PROGRAM ARGUMENTS...
launch() {
  local Name=$1 Program=$2
  shift 2
  "$Bin/$Program" "$@" >>"$Folder/$Name.out" 2>&1 &
  echo "$!" >"$Folder/pids/$Name"
}

# Points a settings file at the deployment's folder.
localise() {
  sed -e "s#/var/lib/mangocart#$Folder/data#" \
    -e "s#/etc/mangocart/admin.token#$Folder/admin.token#" \
    -e "s#/var/log/mangocart#$Folder/logs#" "$@"
}

startEntry() {
  local Name=$1
  localise "$Folder/init/entries/$Name.toml" >"$Folder/settings/$Name.toml"
  [ "${Workers:-}" ] && sed -i "1i workers = $Workers" "$Folder/settings/$Name.toml"
  launch "$Name" mangocart-entry --settings "$Folder/settings/$Name.toml"
}

# startBackend NUMBER SERVICE KIND: a stand-in and its agent; the number decides
# the zone and the address.
startBackend() {
  local Number=$1 Service=$2 Kind=$3
  local Zones=(a b c) Zone Address Name
  Zone=${Zones[$((Number % 3))]}
  Address=127.0.$((Number % 3 + 1)).$((10 + Number))
  Name=$Service-$Number
  localise -e "s#@NAME@#$Name#; s#@SERVICE@#$Service#; s#@ADDRESS@#$Address#" \
    "$Folder/init/agents/canelones-$Zone.toml" >"$Folder/settings/$Name.toml"
  launch "standin-$Name" mangocart-standin --address "$Address" \
    --port "$BackendPort" --kind "$Kind" --name "$Name" \
    --slots "${Slots:-64}" --service-time-ms "${ServiceTimeMs:-2}" \
    --token-interval-ms "${TokenIntervalMs:-2}" --log "$Folder/runs/$Name.jsonl"
  launch "$Name" mangocart-agent --settings "$Folder/settings/$Name.toml"
}

startDeployment() {
  mkdir -p "$Folder"/{pids,settings,logs,runs,data}
  (umask 077 && echo "$AdminToken" >"$Folder/admin.token")
  "$Bin/mangocart" init --answers "$Answers" --out "$Folder/init" >/dev/null
  local Name Number
  for Name in entry-a entry-b entry-c1 entry-c2; do startEntry "$Name"; done
  for Number in $(seq 1 12); do startBackend "$Number" assistant engine; done
  for Number in 13 14 15; do startBackend "$Number" booking-desk plain; done
  waitFor 30 serving 15
  waitFor 30 hasLeader
}

# The log has a leader, so a configuration can be accepted.
hasLeader() {
  "$Bin/mangocart" status --admin "127.0.1.1:$AdminPort" --output json 2>/dev/null |
    grep -q '"leader":"entry'
}

# serving COUNT: entry-a knows that many serving backend servers.
serving() {
  [ "$("$Bin/mangocart" status --admin "127.0.1.1:$AdminPort" --output json 2>/dev/null |
    grep -o '"state":"serving"' | wc -l)" -ge "$1" ]
}

# inForce VERSION: every process of the deployment has it.
inForce() {
  [ "$("$Bin/mangocart" status --admin "127.0.1.1:$AdminPort" --output json 2>/dev/null |
    grep -o "\"configuration_version\":$1[,}]" | wc -l)" -ge 20 ]
}

# waitFor SECONDS COMMAND...: until the command succeeds.
waitFor() {
  local Tries=$(($1 * 10))
  shift
  while ! "$@"; do
    Tries=$((Tries - 1))
    [ "$Tries" -gt 0 ] || { echo "gave up waiting for: $*" >&2; return 1; }
    sleep 0.1
  done
}

acceptConfiguration() {
  "$Bin/mangocart" plan --answers "$Answers" --admin "127.0.1.1:$AdminPort" \
    --out "$Folder/plan.json"
  "$Bin/mangocart" accept "$Folder/plan.json" --admin "127.0.1.1:$AdminPort" \
    --token-file "$Folder/admin.token"
}

# Asks every process to leave, waits, then ends what is left.
stopDeployment() {
  local File Pid
  for File in "$Folder"/pids/*; do kill "$(cat "$File")" 2>/dev/null || true; done
  for File in "$Folder"/pids/*; do
    Pid=$(cat "$File")
    for _ in $(seq 100); do
      kill -0 "$Pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -9 "$Pid" 2>/dev/null && echo "$(basename "$File") had to be killed" >&2
    wait "$Pid" 2>/dev/null || true
  done
}
