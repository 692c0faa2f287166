#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail
Packages=(
  g++ cmake ninja-build ccache clang-format clang-tidy libclang-rt-14-dev
  libboost1.81-dev libboost-json1.81-dev libtclap-dev libspdlog-dev libfmt-dev
  libtomlplusplus-dev libnghttp2-dev libprotobuf-dev protobuf-compiler
  libxxhash-dev libzstd-dev libsodium-dev libtrompeloeil-cpp-dev catch2 libbenchmark-dev curl
)
Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q 'install ok installed' || Missing+=("$Package")
done
if [ "${#Missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${Missing[@]}" >/dev/null
fi
