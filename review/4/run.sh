#!/bin/bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 does the same without the disruption and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/damaskladder ] && [ -x "target/review/case-$(basename "$here")" ] || exit 2
timeout -k 1 118 "target/review/case-$(basename "$here")" "$here/record.txt"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
