#!/usr/bin/env bash
# A replica leaves and has its acknowledgement; all processes are killed and start
# again; a heartbeat that the replica sent before it left arrives late.
set -uo pipefail
cd "$(dirname "$0")/../.."
Case=$PWD/review/13
# TROUBLE=0 plays the case without the disruption.
Trouble=${TROUBLE:-1}
source review/kit-3/deployment.sh

beginCase
cat >"$Folder/config.json" <<JSON
{"version":1,"routes":[{"name":"r-app","host":"app.example","path_prefix":"/app/","route_type":"non_idempotent","timeout_ms":1500,"service":"app","max_attempts":2}],"services":[{"name":"app","health_path":"/health","max_connections":96}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON

startSystem() {
  local Number
  for Number in 1 2 3; do startVoter "$Number" "$1"; done
  for Number in 1 2; do startGateway "$Number"; done
}

startSystem true
startReplica 4 i-stays app 200
startReplica 5 i-leaves app 200
putConfiguration "$Folder/config.json" 20 1 2 3 || giveUp "no acknowledgement"
waitUntilReady 1 2
sleep 3

startLoad 1 /app/x 20 20
startLoad 2 /app/x 20 20
sleep 2
# The next heartbeat leaves the replica, but arrives only seconds later.
steer 5 hold-heartbeat
steer 5 leave
Left=$(nowMs)
note "i-leaves has its acknowledgement and serves on"
sleep 0.3
if [ "$Trouble" = 1 ]; then
  for Number in 1 2 3; do signal "voter-$Number" KILL; done
  for Number in 1 2; do signal "gateway-$Number" KILL; done
  for Number in 1 2 3; do waitForEnd "voter-$Number"; done
  for Number in 1 2; do waitForEnd "gateway-$Number"; done
  sleep 0.7
  startSystem false
fi
Started=$(nowMs)
sleep 3
steer 5 late-heartbeat "$Range.1:$ControlPort"

# The replica ends; whoever waits for it then has lost the request.
sleep 7
signal replica-5 TERM

# Gateways are in touch stable_window_ms (3 s) after the start of the processes;
# twice that is left out here.
for Number in 1 2; do
  while kill -0 "${Pids[load-$Number]}" 2>/dev/null; do sleep 0.2; done
done
From=$((Left + 2000))
[ $((Started + 6000)) -gt "$From" ] && From=$((Started + 6000))
Late=$(awk -v From="$From" '$2 == "i-leaves" && $3 == "runs" && $1 > From' "$Record" | wc -l)
Served=$(awk -v From="$From" '$2 == "i-stays" && $3 == "runs" && $1 > From' "$Record" | wc -l)
Lost=$(awk '$3 == "sends" && $7 == 502' "$Record" | wc -l)
note "after $From, $Late requests reached the replica that has left, $Served the other one; $Lost of all got 502"
[ "$Served" -gt 0 ] || giveUp "nothing was served"
[ "$Late" -eq 0 ]
