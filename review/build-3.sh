#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
  review/kit-3/main.cpp review/kit-3/Http.cpp review/kit-3/Replica.cpp \
  -o target/review-3/review-standin
