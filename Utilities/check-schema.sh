#!/usr/bin/env bash
# The committed generated code must be what protoc makes of the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v protoc >/dev/null || { echo "protoc is not installed: schema not checked"; exit 0; }
Scratch=$(mktemp -d)
trap 'rm -rf "$Scratch"' EXIT
protoc --proto_path=Source/Schema --cpp_out="$Scratch" Source/Schema/*.proto
diff -rq "$Scratch" Source/Schema/Generated ||
  { echo "Source/Schema/Generated is not current: run 'cmake --build --preset dev --target schema'"; exit 1; }
