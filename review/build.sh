#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
Flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for Source in Wire Deployment Client Bookings; do
  g++ "${Flags[@]}" -c "kit/$Source.cpp" -o "build/$Source.o"
done
g++ "${Flags[@]}" kit/Replica.cpp build/Wire.o -o build/review-replica
for Case in [1-5]/Case.cpp; do
  Number=${Case%/*}
  g++ "${Flags[@]}" "$Case" build/Wire.o build/Deployment.o build/Client.o \
    build/Bookings.o -o "build/case-$Number"
done
