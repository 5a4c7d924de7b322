#!/bin/sh
# Builds everything and runs all tests. Takes the build folder as an optional argument.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja ${CMAKE_ARGS:-} >/dev/null
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
