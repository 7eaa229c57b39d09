#!/usr/bin/env bash
# Runs clang-tidy on the sources of the packages and of the test tree. With
# arguments, only on the sources whose path matches one of them. A source that
# was clean is checked again only if its preprocessed text, the checks or the
# version of clang-tidy have changed. LINT_JOBS bounds the sources that are checked
# at the same time (default: one per core).
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || tools/build.sh
export CLEAN_DIR=build/lint-clean
mkdir -p "$CLEAN_DIR"
CHECKS=$(cat .clang-tidy <(clang-tidy --version) | sha256sum)
export CHECKS

# Prints the name under which a clean result of source $1 is kept, or nothing if
# the source is not part of the build.
result_name() {
  local COMMAND
  COMMAND=$(sed -n "s|^  \"command\": \"\(.*\) -o .* -c .*/$1\",\$|\1|p" build/compile_commands.json | head -1)
  [ -n "$COMMAND" ] || return 0
  # Comments are kept, because they may switch checks off, and macros, because
  # some checks look at them. Errors are clang-tidy's to report.
  { echo "$CHECKS $COMMAND $1"; eval "${COMMAND//\\\"/\"}" -E -C -dD "$1" 2>/dev/null; } | sha256sum | cut -d' ' -f1
}

lint() {
  local NAME
  NAME=$(result_name "$1")
  [ -n "$NAME" ] && [ -e "$CLEAN_DIR/$NAME" ] && return 0
  clang-tidy -p build --quiet "$1" || return 1
  [ -z "$NAME" ] || touch "$CLEAN_DIR/$NAME"
}
export -f result_name lint

FILES=$(git ls-files '*.cpp' | grep -v '/generated/')
if [ $# -gt 0 ]; then
  FILES=$(grep -E "$(IFS='|'; echo "$*")" <<<"$FILES")
fi
OUTPUT=$(mktemp)
trap 'rm -f "$OUTPUT"' EXIT
STATUS=0
xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint {}' <<<"$FILES" >"$OUTPUT" 2>&1 || STATUS=$?
grep -vE '^[0-9]+ warnings? (generated|and)|^Suppressed|^Use -header-filter' "$OUTPUT" || true
if [ "$STATUS" -ne 0 ]; then
  echo "lint: failed"
  exit 1
fi
echo "lint: clean"
