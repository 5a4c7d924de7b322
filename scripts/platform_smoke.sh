#!/bin/sh
# Plays a calm day of the users' bench against this tree, if the bench is at hand.
# Usage: platform_smoke.sh BENCH-FOLDER
set -eu
cd "$(dirname "$0")/.."
bench=${1:-}
if [ -z "$bench" ] || [ ! -x "$bench/bin/fleetbench" ]; then
  echo "platform_smoke: no bench in '${bench}'; nothing was played"
  exit 0
fi
for site in "$bench"/sites/*.toml; do
  "$bench/bin/fleetbench" run "$site" quiet-1 --why "smoke test of a calm day"
done
