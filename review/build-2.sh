#!/usr/bin/env bash
# Builds the programs of the cases in review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Source in review/kit-2/*.cpp; do
  Name=$(basename "$Source" .cpp)
  [ "$Name" = Kit ] && continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$Name" \
    "$Source" review/kit-2/Kit.cpp
done
