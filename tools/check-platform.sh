#!/usr/bin/env bash
# Fails if a name of the users' platform stands in code outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
NAMES='heartbeat_addr|log-append|log-read|log-newest|Response-Stamp|Expect-Instance|Not-Executed|Server-Load|Instance-Id|Caller-Service|path_prefix|route_type|weighted_services|target_latency_ms|cold_left_ms|keyed\.'
# The same words after the product's own prefix are its own names.
FOUND=$(git ls-files 'packages/*.cpp' 'packages/*.h' |
  xargs grep -nE "(^|[^-A-Za-z])($NAMES)" || true)
if [ -n "$FOUND" ]; then
  echo "$FOUND"
  echo "platform names: found outside platform/"
  exit 1
fi
echo "platform names: only in platform/"
