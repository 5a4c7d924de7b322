#!/bin/bash
# Builds the program and runs a small fleet on loopback: two VMs with a node each, a control replica
# and a stand-in backend server. Applies settings with the command-line tool, sends requests and
# stops the fleet. Exits with 0 only if every step has the expected result.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
if [ "${DEMO_SKIP_BUILD:-}" != yes ]; then
  scripts/install_packages.sh
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" --target damaskladder
fi
. scripts/fleet.sh

expect() {
  local what=$1 wanted=$2 got=$3
  echo "$what: $got"
  [ "$got" = "$wanted" ] || fail "$what: expected $wanted, got $got"
}

start_fleet "$(realpath examples/demo/grants.ini)" --slots 8 --mean-ms 2

key=$(cat key)
expect "with the key, through two nodes" 200 "$(status 17110 /files/1 -H "Damaskladder-Key: $key")"
expect "without a key" 401 "$(status 17110 /files/1)"
expect "no such route" 404 "$(status 17110 /nothing -H "Damaskladder-Key: $key")"
id="$(date +%s)-order-1"
pay=(-X POST -d 'amount=5' -H "Damaskladder-Key: $key" -H "Idempotency-Key: $id")
expect "non-idempotent request" 200 "$(status 17110 /pay/1 "${pay[@]}")"
expect "the same request again" 200 "$(status 17110 /pay/1 "${pay[@]}")"
expect "the same id with other content" 409 \
  "$(status 17110 /pay/1 -X POST -d 'amount=6' -H "Damaskladder-Key: $key" -H "Idempotency-Key: $id")"
expect "the same request at the other node" 409 "$(status 17210 /pay/1 "${pay[@]}")"
expect "runs of that request" 1 "$(curl -s "http://127.0.0.1:$standin_port/-/runs?id=$id")"

"$program" evacuate east
evacuated() { [ "$(status 17110 /files/1 -H "Damaskladder-Key: $key")" = 503 ]; }
wait_for "the evacuated failure domain still gets requests" evacuated
wait_for "no log line of the evacuation" grep -q evacuation_started vm2.log
curl -s http://127.0.0.1:17212/-/metrics | grep '^damaskladder_evacuated_domains'
expect "evacuated domains" east "$("$program" evacuations)"
"$program" evacuate east
if "$program" evacuate west; then fail "the last failure domain was evacuated"; fi
expect "with the only backend server evacuated" 503 \
  "$(status 17210 /files/1 -H "Damaskladder-Key: $key")"
"$program" end-evacuation east
wait_for "no successful response after the evacuation" answered 17110
wait_for "no log line of its end" grep evacuation_ended vm2.log
grep -h evacuation_ vm2.log
expect "evacuated domains afterwards" "" "$("$program" evacuations)"

"$program" withdraw-key k1
withdrawn() { [ "$(status 17110 /files/1 -H "Damaskladder-Key: $key")" = 403 ]; }
wait_for "the withdrawn key is still accepted" withdrawn
expect "after withdrawal" 403 "$(status 17110 /files/1 -H "Damaskladder-Key: $key")"
"$program" history --path teams/grants | cut -c1-100

stop_fleet
echo "demo passed"
