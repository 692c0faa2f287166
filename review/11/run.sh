#!/usr/bin/env bash
# Two machines of the core are replaced in good order, one after the other; their
# successors have run for long by then.
set -uo pipefail
cd "$(dirname "$0")/../.."
Case=$PWD/review/11
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

# The successors have had catch_up_s (4 s) twice before the first one goes.
for Number in 4 5; do startVoter "$Number" false; done
sleep 8
putConfiguration "$(configuration 2)" 20 1 2 3 || giveUp "no second acknowledgement"
Followers=()
for Number in 1 2 3; do
  if "$Standin" call GET "$Range.$Number:$MetricsPort" /metrics |
    grep -q '^mangocart_log_leads 0'; then
    Followers+=("$Number")
  else
    Leader=$Number
  fi
done
[ "${#Followers[@]}" = 2 ] || giveUp "expected one leader"
Left=(1 2 3 4 5)
if [ "$Trouble" = 1 ]; then
  note "core-$Leader leads; core-${Followers[0]} and core-${Followers[1]} are replaced by core-4 and core-5"
  signal "voter-${Followers[0]}" TERM
  waitForEnd "voter-${Followers[0]}"
  sleep 2
  signal "voter-${Followers[1]}" TERM
  waitForEnd "voter-${Followers[1]}"
  Left=("$Leader" 4 5)
fi

# recover_s is 12 s; the operator goes on reading for much longer.
Since=$(nowMs)
sleep 4
Held=0
while [ $(($(nowMs) - Since)) -lt 45000 ]; do
  for Number in "${Left[@]}"; do
    if [ "$(readConfiguration "$Number")" = '"version":2' ]; then
      Held=1
      break 2
    fi
  done
  sleep 0.5
done
note "the acknowledged configuration $([ "$Held" = 1 ] && echo is read back || echo "doesn't come") $(($(nowMs) - Since)) ms after the last machine has gone"
[ "$Held" = 1 ]
