#!/usr/bin/env bash
# Runs clang-tidy on the sources of the packages and of the test tree. With
# arguments, only on the sources whose path matches one of them.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || tools/build.sh
FILES=$(git ls-files '*.cpp' | grep -v '/generated/')
if [ $# -gt 0 ]; then
  FILES=$(grep -E "$(IFS='|'; echo "$*")" <<<"$FILES")
fi
OUTPUT=$(mktemp)
trap 'rm -f "$OUTPUT"' EXIT
STATUS=0
xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet <<<"$FILES" >"$OUTPUT" 2>&1 || STATUS=$?
grep -vE '^[0-9]+ warnings? (generated|and)|^Suppressed|^Use -header-filter' "$OUTPUT" || true
if [ "$STATUS" -ne 0 ]; then
  echo "lint: failed"
  exit 1
fi
echo "lint: clean"
