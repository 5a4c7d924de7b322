#!/bin/bash
# Measures the latency overhead of the request path through two nodes (key, rate, admission, sealing)
# compared with direct calls of the stand-in backend server. Alternates between the two ROUNDS times,
# with an open-loop load of 350 requests/s. Also prints the CPU time of each idle node, its memory and
# its number of threads. Requires a finished build. Usage: measure_path.sh [BUILD_DIR [ROUNDS]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
rounds=${2:-3}
. scripts/fleet.sh

sed 's#^rate = .*#rate = 100000/s#; s#^burst = .*#burst = 100000#' examples/demo/grants.ini > "$work/fast.ini"
start_fleet "$work/fast.ini" --slots 64 --mean-ms 0.2

experiment() { # NAME TARGET
  cat > "$1.ini" <<INI
[experiment]
seed = 7
duration = 10s
targets = $2
timeout = 2s

[streams/files]
path = /files/1
workspace = w1
key_file = key
rate = 350/s
INI
}
experiment direct "127.0.0.1:$standin_port"
experiment path 127.0.0.1:17110
for round in $(seq "$rounds"); do
  for which in direct path; do
    echo "== round $round: $which"
    "$program" load "$which.ini" | grep -iE 'latency|good|send' || true
  done
done
# CPU time used by a process, in hundredths of a second.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

for pid in "${pids[@]:0:2}"; do
  before=$(cpu_ticks "$pid")
  sleep 10
  after=$(cpu_ticks "$pid")
  echo "node $pid: $((after - before)) ms of CPU time per second while idle," \
    "$(grep -E 'VmRSS|Threads' "/proc/$pid/status" | tr -s '\t\n' ' ')"
done
stop_fleet
