#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review-3/$name" "$source"
done
