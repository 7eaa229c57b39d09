#!/usr/bin/env bash
# Configures and builds everything in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet
