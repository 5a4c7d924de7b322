#!/bin/sh
# Smoke test: runs the scenario quiet-1 of the users' fleetbench against this tree for each site.
# Does nothing if fleetbench is not available.
# Usage: platform_smoke.sh BENCH-FOLDER
set -eu
cd "$(dirname "$0")/.."
bench=${1:-}
if [ -z "$bench" ] || [ ! -x "$bench/bin/fleetbench" ]; then
  echo "platform_smoke: no fleetbench in '${bench}'; test not run"
  exit 0
fi
for site in "$bench"/sites/*.toml; do
  "$bench/bin/fleetbench" run "$site" quiet-1 --why "smoke test of a calm day"
done
