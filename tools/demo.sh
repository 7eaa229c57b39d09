#!/usr/bin/env bash
# Installs what is missing, builds, and shows a small mesh of four services under
# a mixed load. Exits non-zero if a caller got a wrong, torn or missing answer.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
tools/build.sh

# The demo ends all processes that it started when it ends itself.
build/bin/camphorpin-demo &
DEMO=$!
trap 'kill "$DEMO" 2>/dev/null || true' EXIT INT TERM
wait "$DEMO"
