#!/usr/bin/env bash
# Installs, builds and passes the tests: style, schema, pages, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
Utilities/install.sh
Utilities/check-style.sh
Utilities/check-schema.sh
Utilities/check-platform-names.sh
cmake --preset dev >/dev/null
cmake --build --preset dev
Utilities/check-lint.sh build/dev
for Check in Utilities/check-pages*.sh; do
  [ -e "$Check" ] && "$Check" build/dev
done
Utilities/run-tests.sh build/dev
