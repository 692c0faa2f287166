#!/usr/bin/env bash
# The formatter must have nothing to change.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cpp' '*.h' | grep -v '/Generated/' |
  xargs -r -P 5 -n 20 clang-format --dry-run -Werror
