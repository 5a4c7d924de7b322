#!/bin/sh
# Runs clang-tidy on the sources. Usage: lint.sh [BUILD_DIR [PATH_REGEX]]
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
run-clang-tidy -quiet -p "$build" -j "$(nproc)" "$(pwd)/(src|platform)/${2:-}.*" >"$build/lint.log" 2>/dev/null || {
  grep -E 'error|warning' "$build/lint.log" | sort -u
  exit 1
}
