#!/usr/bin/env bash
# Installs the Debian packages that building and testing need.
set -euo pipefail

PACKAGES=(g++ cmake ninja-build pkg-config clang-format clang-tidy
  libcapnp-dev capnproto libcpp-httplib-dev libgflags-dev liblog4cxx-dev
  libboost1.81-dev libcriterion-dev nlohmann-json3-dev librapidcheck-dev
  libxxhash-dev libbenchmark-dev)

MISSING=()
for NAME in "${PACKAGES[@]}"; do
  dpkg -s "$NAME" >/dev/null 2>&1 || MISSING+=("$NAME")
done
[ ${#MISSING[@]} -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
LOG=$(mktemp)
if ! { apt-get update -qq && apt-get install -y -qq "${MISSING[@]}"; } >"$LOG" 2>&1; then
  cat "$LOG"
  exit 1
fi
rm -f "$LOG"
