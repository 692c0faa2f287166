# Functions for a small deployment of the deploy file's programs: each machine is
# an address of its own on loopback, in a range that no other process uses. A
# script sets Case (its folder) and Trouble, sources this file and calls beginCase. Exit
# codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

Bin=$PWD/target/bin
Standin=$PWD/target/review-3/review-standin
ControlPort=7210
CallerPort=7220
HealthPort=7221
PeerPort=7230
MetricsPort=7240
ReplicaPort=7250
SteeringPort=7251

beginCase() {
  [ -x "$Bin/mangocart-voter" ] && [ -x "$Bin/mangocart-gateway" ] &&
    [ -x "$Standin" ] || giveUp "build first: deploy file, review/build-3.sh"
  Folder=$(mktemp -d)
  Record=$Folder/record
  Range=127.$((100 + $$ % 100)).$((RANDOM % 250))
  Seeds=("$Range.1:$ControlPort" "$Range.2:$ControlPort" "$Range.3:$ControlPort")
  declare -gA Pids=()
  mkdir -p "$Folder"/{settings,data,output}
  : >"$Record"
  trap endCase EXIT
}

# Ends every process that the case started and keeps the record, and all files of a
# case that couldn't run.
endCase() {
  local Status=$? Name
  for Name in "${!Pids[@]}"; do kill -9 "${Pids[$Name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  sort -s -n -k 1,1 "$Record" >"$Case/record.txt"
  if [ "$Status" = 2 ]; then
    echo "its files are in $Folder" >&2
  else
    rm -rf "$Folder"
  fi
}

giveUp() {
  echo "$*" >&2
  exit 2
}

nowMs() { date +%s%3N; }

note() { echo "$(nowMs) script $*" >>"$Record"; }

# launch NAME COMMAND...
launch() {
  local Name=$1
  shift
  "$@" >>"$Folder/output/$Name" 2>&1 &
  Pids[$Name]=$!
  disown "$!"
  note "starts $Name"
}

# signal NAME SIGNAL: sends it and, for one that ends the process, waits.
signal() {
  note "sends $2 to $1"
  kill "-$2" "${Pids[$1]}" || giveUp "$1 has ended by itself"
}

waitForEnd() {
  local Tries=100
  while kill -0 "${Pids[$1]}" 2>/dev/null; do
    Tries=$((Tries - 1))
    [ "$Tries" -gt 0 ] || giveUp "$1 doesn't end"
    sleep 0.1
  done
  unset "Pids[$1]"
}

quotedSeeds() {
  local Quoted
  Quoted=$(printf '"%s",' "${Seeds[@]}")
  echo "${Quoted%,}"
}

# Zones a, b and c by turns.
zoneOf() {
  local Zones=(zone-a zone-b zone-c)
  echo "${Zones[$((($1 - 1) % 3))]}"
}

# startVoter NUMBER FIRST-START, at the address with that last number. The
# settings are those of platform/voter.toml.
startVoter() {
  cat >"$Folder/settings/voter-$1.toml" <<SETTINGS
name = "core-$1"
availability_zone = "$(zoneOf "$1")"
control_endpoint = "$Range.$1:$ControlPort"
peer_port = $PeerPort
metrics_port = $MetricsPort
seeds = [$(quotedSeeds)]
first_start = $2
data_folder = "$Folder/data/voter-$1"
tolerated_losses = 1
announce_interval_ms = 1200
availability_zones = ["zone-a","zone-b","zone-c"]
SETTINGS
  launch "voter-$1" "$Bin/mangocart-voter" \
    --settings "$Folder/settings/voter-$1.toml"
}

# startGateway NUMBER [LINE...]: at the address with the last number 10 + NUMBER.
# Further lines for the settings, which are those of platform/gateway.toml.
startGateway() {
  local Number=$1
  shift
  cat >"$Folder/settings/gateway-$Number.toml" <<SETTINGS
name = "front-$Number"
availability_zone = "$(zoneOf "$Number")"
caller_endpoint = "$Range.1$Number:$CallerPort"
health_endpoint = "$Range.1$Number:$HealthPort"
peer_port = $PeerPort
metrics_port = $MetricsPort
seeds = [$(quotedSeeds)]
announce_interval_ms = 1200
retry_ratio = 0.2
retry_slack = 88
retry_window_ms = "10 s"
drain_max_ms = "8 s"
SETTINGS
  [ $# -eq 0 ] || printf '%s\n' "$@" >>"$Folder/settings/gateway-$Number.toml"
  launch "gateway-$Number" "$Bin/mangocart-gateway" \
    --settings "$Folder/settings/gateway-$Number.toml"
}

# startReplica NUMBER NAME SERVICE WORK-MS [CLOCK-ERROR-MS]
startReplica() {
  launch "replica-$1" "$Standin" replica "$Range.$1:$ReplicaPort" \
    "$Range.$1:$SteeringPort" "$2" "$3" "$(zoneOf "$1")" "$4" "${5:-0}" \
    "$Record" "${Seeds[@]}"
}

# steer NUMBER ORDER [BODY]
steer() {
  echo -n "${3:-}" >"$Folder/order"
  [ "$("$Standin" call POST "$Range.$1:$SteeringPort" "/$2" "$Folder/order" |
    head -n 1)" = 200 ] || giveUp "replica $1 can't carry out $2"
}

# startLoad NUMBER TARGET PER-SECOND SECONDS: to the gateway with that number.
startLoad() {
  launch "load-$1" "$Standin" load "$Range.1$1:$CallerPort" app.example "$2" \
    "$3" "$4" "$Record" "r$1"
}

# putConfiguration FILE SECONDS NUMBER...: to the voters with these numbers, by
# turns, until one acknowledges it. Its number is in AcknowledgedBy.
putConfiguration() {
  local File=$1 End=$(($(nowMs) + $2 * 1000)) Number Status
  shift 2
  while [ "$(nowMs)" -lt "$End" ]; do
    for Number in "$@"; do
      Status=$("$Standin" call PUT "$Range.$Number:$ControlPort" /config "$File" |
        head -n 1)
      note "the operator sends $(grep -o '"version":[0-9]*' "$File" | head -n 1) to core-$Number: $Status"
      if [ "$Status" = 200 ]; then
        AcknowledgedBy=$Number
        return 0
      fi
    done
    sleep 0.2
  done
  return 1
}

# readConfiguration NUMBER: prints the version that this voter answers, or the
# status of a refusal.
readConfiguration() {
  local Answer Version
  Answer=$("$Standin" call GET "$Range.$1:$ControlPort" /config) || true
  Version=$(grep -o '"version":[0-9]*' <<<"$Answer" | head -n 1)
  note "the operator reads at core-$1: $(head -n 1 <<<"$Answer") $Version"
  echo "${Version:-status $(head -n 1 <<<"$Answer")}"
}

# waitUntilReady NUMBER...: the gateways answer their health checks.
waitUntilReady() {
  local Number Tries
  for Number in "$@"; do
    for Tries in $(seq 100); do
      [ "$("$Standin" call GET "$Range.1$Number:$HealthPort" /ready |
        head -n 1)" = 200 ] && continue 2
      sleep 0.1
    done
    giveUp "gateway $Number isn't ready"
  done
}
