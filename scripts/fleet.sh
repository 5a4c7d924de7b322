# Shell functions that start and stop a small fleet on loopback for the demo and for measurements: two
# VMs in two failure domains, with a control replica on the first and a stand-in backend server on
# the second. Set `build` before sourcing this file. It creates a temporary work folder, and
# start_fleet changes to that folder.

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
  echo "failed: $*" >&2
  cat "$work/answer" >&2 || true
  tail -n 20 "$work"/*.log >&2
  exit 1
}

# wait_for MESSAGE COMMAND... retries the command for about 15 s until it succeeds; fails otherwise.
wait_for() {
  local what=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$what"
}

# status PORT PATH [CURL OPTION...] prints the HTTP status and writes the body to the file answer.
status() {
  local port=$1 path=$2
  shift 2
  curl -s -o "$work/answer" -w '%{http_code}' "$@" "http://127.0.0.1:$port$path"
}

answered() { [ "$(status "$1" /files/1 -H "Damaskladder-Key: $(cat key)")" = 200 ]; }

# start_fleet SETTINGS STANDIN_OPTION... starts the fleet and applies the settings of the team grants.
start_fleet() {
  local settings=$1
  shift
  cd "$work"
  mkdir data-vm1
  od -An -tx1 -N32 /dev/urandom | tr -d ' \n' > cluster.secret
  od -An -tx1 -N16 /dev/urandom | tr -d ' \n' > token
  od -An -tx1 -N16 /dev/urandom | tr -d ' \n' > key
  local token_hash key_hash
  token_hash=$("$program" hash-token --secret-file cluster.secret token)
  key_hash=$("$program" hash-key --secret-file cluster.secret key)
  sed "s/@ADMIN_TOKEN_HASH@/$token_hash/" "$examples/vm1.ini" > vm1.ini
  sed "s/@KEY_HASH@/$key_hash/" "$settings" > grants.ini
  cp "$examples/vm2.ini" "$examples/fleet.ini" .
  for vm in vm1 vm2; do
    "$program" check "$vm.ini"
    "$program" run "$vm.ini" 2>"$vm.log" &
    pids+=($!)
  done
  "$program" standin --service casefiles --node 127.0.0.1:17212 --credential demo-credential \
    "$@" >standin.log 2>&1 &
  pids+=($!)
  export DAMASKLADDER_CONTROL=127.0.0.1:17120
  export DAMASKLADDER_TOKEN_FILE=$work/token
  wait_for "the control replica has not become leader" "$program" get fleet
  "$program" apply --path fleet --based-on 0 fleet.ini
  "$program" apply --path teams/grants --based-on 0 grants.ini
  wait_for "no successful response through vm1" answered 17110
  wait_for "no successful response through vm2" answered 17210
  standin_port=$(sed -n 's/^port //p' standin.log)
}

# Stops the fleet; fails if a process does not exit with 0.
stop_fleet() {
  for pid in "${pids[@]}"; do kill "$pid"; done
  for pid in "${pids[@]}"; do wait "$pid" || fail "process $pid did not stop cleanly"; done
  pids=()
}
