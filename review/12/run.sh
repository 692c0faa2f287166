#!/usr/bin/env bash
# A core machine is replaced in good order; then another one loses its disk right
# after it has acknowledged a configuration.
set -uo pipefail
cd "$(dirname "$0")/../.."
Case=$PWD/review/12
# TROUBLE=0 plays the case without the disruption.
Trouble=${TROUBLE:-1}
source review/kit-3/deployment.sh

# configuration VERSION
configuration() {
  cat >"$Folder/config-$1.json" <<JSON
{"version":$1,"routes":[{"name":"r-app","host":"app.example","path_prefix":"/app/","route_type":"idempotent","timeout_ms":1500,"service":"app","max_attempts":2}],"services":[{"name":"app","health_path":"/health","max_connections":96}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
  echo "$Folder/config-$1.json"
}

beginCase
for Number in 1 2 3; do startVoter "$Number" true; done
putConfiguration "$(configuration 1)" 20 1 2 3 || giveUp "no first acknowledgement"

# Until the third machine has joined, a successor could be taken in its place.
sleep 6

# The successor has had catch_up_s (4 s) and more before its predecessor goes.
startVoter 4 false
sleep 6
# Not the leader: the leader goes on leading.
for Number in 1 2 3; do
  if "$Standin" call GET "$Range.$Number:$MetricsPort" /metrics |
    grep -q '^mangocart_log_leads 0'; then
    Old=$Number
  else
    Leader=$Number
  fi
done
note "core-$Leader leads; core-$Old is replaced by core-4"
signal "voter-$Old" TERM
waitForEnd "voter-$Old"
Rest=()
for Number in 1 2 3; do [ "$Number" = "$Old" ] || Rest+=("$Number"); done
sleep 2

putConfiguration "$(configuration 2)" 20 "$Leader" "${Rest[@]}" 4 ||
  giveUp "no acknowledgement after the replacement"
if [ "$Trouble" = 1 ]; then
  signal "voter-$AcknowledgedBy" KILL
  waitForEnd "voter-$AcknowledgedBy"
  rm -rf "$Folder/data/voter-$AcknowledgedBy"
  note "core-$AcknowledgedBy has lost its disk"
  sleep 1
  startVoter "$AcknowledgedBy" false
fi

# recover_s is 12 s; the operator goes on reading for much longer.
Back=$(nowMs)
Held=0
while [ $(($(nowMs) - Back)) -lt 45000 ]; do
  for Number in "${Rest[@]}" 4; do
    if [ "$(readConfiguration "$Number")" = '"version":2' ]; then
      Held=1
      break 2
    fi
  done
  sleep 0.5
done
note "the acknowledged configuration is $([ "$Held" = 1 ] && echo read back || echo gone) $(($(nowMs) - Back)) ms after the machines are back"
[ "$Held" = 1 ]
