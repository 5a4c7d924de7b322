#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $flags -c review/standin-2/fleet.cpp -o target/review-2/fleet.o
for number in 6 7 8 9 10; do
  source=review/$number/driver.cpp
  [ -f "$source" ] || continue
  g++ $flags "$source" target/review-2/fleet.o -o "target/review-2/case-$number"
done
