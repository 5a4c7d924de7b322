#!/bin/bash
# Builds the program and runs a small fleet on loopback: two VMs with a node each, a control replica
# and a stand-in backend server. Applies settings through the command line, sends requests, and
# stops everything. Exits with 0 only if every step did what it should.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
if [ "${DEMO_SKIP_BUILD:-}" != yes ]; then
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build" --target damaskladder
fi
program=$(realpath "$build/damaskladder")
examples=$(realpath examples/demo)
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

fail() {
  echo "demo failed: $*" >&2
  cat "$work/answer" >&2 || true
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# Runs a command until it succeeds, for at most 15 s.
wait_for() {
  local what=$1
  shift
  for _ in $(seq ${DEMO_PATIENCE:-150}); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$what"
}

# status PORT PATH [CURL OPTION...]
status() {
  local port=$1 path=$2
  shift 2
  curl -s -o "$work/answer" -w '%{http_code}' "$@" "http://127.0.0.1:$port$path"
}

expect() {
  local what=$1 wanted=$2 got=$3
  echo "$what: $got"
  [ "$got" = "$wanted" ] || fail "$what: expected $wanted, got $got: $(cat "$work/answer")"
}

cd "$work"
mkdir data-vm1
od -An -tx1 -N32 /dev/urandom | tr -d ' \n' > cluster.secret
od -An -tx1 -N16 /dev/urandom | tr -d ' \n' > token
od -An -tx1 -N16 /dev/urandom | tr -d ' \n' > key
token_hash=$("$program" hash-token --secret-file cluster.secret token)
key_hash=$("$program" hash-key --secret-file cluster.secret key)
sed "s/@ADMIN_TOKEN_HASH@/$token_hash/" "$examples/vm1.ini" > vm1.ini
sed "s/@KEY_HASH@/$key_hash/" "$examples/grants.ini" > grants.ini
cp "$examples/vm2.ini" "$examples/fleet.ini" .

for vm in vm1 vm2; do
  "$program" check "$vm.ini"
  "$program" run "$vm.ini" 2>"$vm.log" &
  pids+=($!)
done
"$program" standin --service casefiles --node 127.0.0.1:17212 --credential demo-credential \
  --slots 8 --mean-ms 2 >standin.log 2>&1 &
pids+=($!)

export DAMASKLADDER_CONTROL=127.0.0.1:17120
export DAMASKLADDER_TOKEN_FILE=$work/token
wait_for "control replica does not lead" "$program" get fleet
"$program" apply --path fleet --based-on 0 fleet.ini
"$program" apply --path teams/grants --based-on 0 grants.ini

works() { [ "$(status "$1" /files/1 -H "Damaskladder-Key: $(cat key)")" = 200 ]; }
wait_for "no answer through vm1" works 17110
wait_for "no answer through vm2" works 17210

key=$(cat key)
expect "with the key, through two nodes" 200 "$(status 17110 /files/1 -H "Damaskladder-Key: $key")"
expect "without a key" 401 "$(status 17110 /files/1)"
expect "no such route" 404 "$(status 17110 /nothing -H "Damaskladder-Key: $key")"
id="$(date +%s)-order-1"
expect "non-idempotent request" 200 \
  "$(status 17110 /pay/1 -X POST -d 'amount=5' -H "Damaskladder-Key: $key" -H "Idempotency-Key: $id")"
expect "the same request again" 200 \
  "$(status 17110 /pay/1 -X POST -d 'amount=5' -H "Damaskladder-Key: $key" -H "Idempotency-Key: $id")"
port=$(sed -n 's/^port //p' standin.log)
expect "runs of that request" 1 "$(curl -s "http://127.0.0.1:$port/-/runs?id=$id")"

"$program" withdraw-key k1
withdrawn() { [ "$(status 17110 /files/1 -H "Damaskladder-Key: $key")" = 403 ]; }
wait_for "a withdrawn key goes on working" withdrawn
expect "after withdrawal" 403 "$(status 17110 /files/1 -H "Damaskladder-Key: $key")"
"$program" history --path teams/grants | head -3

for pid in "${pids[@]}"; do kill "$pid"; done
for pid in "${pids[@]}"; do wait "$pid" || fail "process $pid did not stop cleanly"; done
pids=()
echo "demo passed"
