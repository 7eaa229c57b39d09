#!/usr/bin/env bash
# Builds everything with sanitizers in build-<sanitizer>/ and runs the tests whose
# names match a pattern (default: all). A finding fails its test.
#   tools/sanitize.sh address,undefined|thread [PATTERN]
set -euo pipefail
cd "$(dirname "$0")/.."
SANITIZERS=${1:?"address,undefined or thread"}
PATTERN=${2:-.}
DIR=build-${SANITIZERS%%,*}
cmake -S . -B "$DIR" -G Ninja -DCAMPHORPIN_SANITIZE="$SANITIZERS" >/dev/null
ninja -C "$DIR" ${BUILD_JOBS:+-j "$BUILD_JOBS"} --quiet
# Criterion's test processes end without freeing what the framework holds, so
# leaks are not looked for.
export ASAN_OPTIONS=detect_leaks=0:abort_on_error=1
export UBSAN_OPTIONS=print_stacktrace=1
export TSAN_OPTIONS=halt_on_error=1:suppressions=$PWD/tools/thread-sanitizer.supp
ctest --test-dir "$DIR" -j "${TEST_JOBS:-2}" -L unit -R "$PATTERN" --output-on-failure
ctest --test-dir "$DIR" -j 1 -L process -R "$PATTERN" --no-tests=ignore --output-on-failure
