#!/usr/bin/env bash
# Fails if a source file differs from what clang-format prints.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z '*.h' '*.cpp' ':!:*/generated/*' | xargs -0 -r clang-format --dry-run --Werror
echo "format: clean"
