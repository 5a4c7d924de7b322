#!/bin/bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/damaskladder ] && [ -x "target/review/case-$(basename "$here")" ] || exit 2
timeout -k 1 118 "target/review/case-$(basename "$here")" "$here/record.txt"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
