#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. The tests that
# KNOWN-RED.txt lists are run and printed, but do not decide the result.
set -uo pipefail
cd "$(dirname "$0")/.."
tools/install.sh && tools/build.sh || exit 1

# A line "test: <name>" in KNOWN-RED.txt names a CTest test.
KNOWN_RED=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
EXCLUDE="^($(paste -sd'|' <<<"$KNOWN_RED"))\$"

run_tests() { # label, parallel jobs
  # Criterion's closing lines stay in the output.
  ctest --test-dir build -V -j "$2" -L "$1" -E "$EXCLUDE" --no-tests=ignore |
    grep --line-buffered -E 'Synthesis|MB, [0-9]+ descriptors|\[FAIL\]|\[CRASH\]|\[----\]|Failed|Failure|\*\*\*|tests passed|Falsifiable|Test *#|: (assert|Warning)|[0-9]+ passed, [0-9]+ failed'
  return "${PIPESTATUS[0]}"
}

RESULT=0
run_tests unit 4 || RESULT=1
# Tests with real processes run alone, because they share the processor.
run_tests process 1 || RESULT=1

if [ -n "$KNOWN_RED" ]; then
  echo "Known failures (KNOWN-RED.txt), not counted:"
  ctest --test-dir build -R "$EXCLUDE" --no-tests=ignore || true
fi
[ "$RESULT" -eq 0 ] && echo "all tests passed" || echo "tests failed"
exit "$RESULT"
