#!/usr/bin/env bash
# Runs the tests whose names match a pattern (default: all) with sanitizers, in
# build-<sanitizer>/. A finding fails.
#   tools/sanitize.sh address,undefined|thread [PATTERN]
# With "thread", the programs are built with the sanitizer and the process tests
# of build/ start them. Criterion's own processes fail at their start with it,
# because Criterion maps shared memory where the sanitizer keeps its own.
set -euo pipefail
cd "$(dirname "$0")/.."
SANITIZERS=${1:?"address,undefined or thread"}
PATTERN=${2:-.}
DIR=build-${SANITIZERS%%,*}

build() { # targets
  cmake -S . -B "$DIR" -G Ninja -DCAMPHORPIN_SANITIZE="$SANITIZERS" >/dev/null
  ninja -C "$DIR" ${BUILD_JOBS:+-j "$BUILD_JOBS"} --quiet "$@"
}

check_threads() {
  tools/build.sh
  build camphorpind camphorctl standin-backend standin-load standin-log
  local REPORTS=$PWD/$DIR/reports
  rm -rf "$REPORTS"
  mkdir "$REPORTS"
  export TSAN_OPTIONS=suppressions=$PWD/tools/thread-sanitizer.supp:atexit_sleep_ms=0:log_path=$REPORTS/report
  export CAMPHORPIN_PROGRAMS=$PWD/$DIR/bin
  # Latency with a sanitizer tells nothing.
  local RESULT=0
  ctest --test-dir build -j 1 -L process -R "$PATTERN" -E Latency --output-on-failure || RESULT=1
  if [ -n "$(ls "$REPORTS")" ]; then
    cat "$REPORTS"/*
    RESULT=1
  fi
  return "$RESULT"
}

check_memory() {
  build
  # Criterion's test processes end without freeing what the framework holds, so
  # leaks are not looked for.
  export ASAN_OPTIONS=detect_leaks=0:abort_on_error=1
  export UBSAN_OPTIONS=print_stacktrace=1
  ctest --test-dir "$DIR" -j "${TEST_JOBS:-2}" -L unit -R "$PATTERN" --output-on-failure
  ctest --test-dir "$DIR" -j 1 -L process -R "$PATTERN" --no-tests=ignore --output-on-failure
}

if [ "$SANITIZERS" = thread ]; then
  check_threads
else
  check_memory
fi
