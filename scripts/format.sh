#!/bin/sh
# Formats all sources. With --check, only reports files that are not formatted.
set -eu
cd "$(dirname "$0")/.."
mode=-i
if [ "${1:-}" = "--check" ]; then
  mode='--dry-run --Werror'
fi
find src include platform -name '*.[ch]pp' -print0 | xargs -0 clang-format $mode
