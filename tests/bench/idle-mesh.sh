#!/usr/bin/env bash
# Prints what nodes spend on control while no requests are sent: processor time,
# resident memory and bytes on the loopback device, per node and second, for
# several numbers of nodes. The bytes count each datagram and segment once and
# include the reads of the log. Run it on an otherwise idle machine.
#   tests/bench/idle-mesh.sh [NODES...]
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly SETTLE_SECONDS=20
readonly MEASURE_SECONDS=30
readonly LOG=127.9.0.1:7300
DIR=$(mktemp -d)
PIDS=()

stop_all() {
  [ ${#PIDS[@]} -eq 0 ] || kill "${PIDS[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  PIDS=()
}
trap 'stop_all; rm -rf "$DIR"' EXIT

settings() { # index, count
  local IP=127.9.$(($1 / 200 + 1)).$(($1 % 200 + 1))
  cat <<JSON
{ "address": "$IP:7000", "httpAddress": "$IP:7001", "adminAddress": "$IP:7002",
  "zone": "zone-$(($1 % 3))", "region": "region-0",
  "service": "service-$(($1 / 12))",
  "backend": { "address": "$IP:7003", "connections": 4 },
  "log": { "address": "$LOG" },
  "peers": [ { "address": "127.9.1.1:7000", "zone": "zone-0",
               "region": "region-0" } ],
  "limits": { "httpThreads": 8 },
  "logging": { "level": "error", "file": "$DIR/$1.log" } }
JSON
}

ticks() { # processor time of all nodes in clock ticks
  local SUM=0 PID
  for PID in "${PIDS[@]:1}"; do
    SUM=$((SUM + $(awk '{print $14 + $15}' "/proc/$PID/stat")))
  done
  echo "$SUM"
}

device_bytes() { awk '/ lo:/ {print $2}' /proc/net/dev; }

memory_kb() {
  local SUM=0 PID
  for PID in "${PIDS[@]:1}"; do
    SUM=$((SUM + $(awk '/VmRSS/ {print $2}' "/proc/$PID/status")))
  done
  echo "$SUM"
}

measure() { # nodes
  build/bin/standin-log --address="$LOG" >/dev/null 2>&1 &
  PIDS+=($!)
  sleep 1
  local INDEX
  for ((INDEX = 0; INDEX < $1; INDEX++)); do
    settings "$INDEX" "$1" >"$DIR/$INDEX.json"
    build/bin/camphorpind --settings="$DIR/$INDEX.json" >/dev/null 2>&1 &
    PIDS+=($!)
  done
  sleep "$SETTLE_SECONDS"
  local TICKS BYTES
  TICKS=$(ticks)
  BYTES=$(device_bytes)
  sleep "$MEASURE_SECONDS"
  TICKS=$(($(ticks) - TICKS))
  BYTES=$(($(device_bytes) - BYTES))
  awk -v n="$1" -v s="$MEASURE_SECONDS" -v t="$TICKS" -v hz="$(getconf CLK_TCK)" \
    -v b="$BYTES" -v m="$(memory_kb)" 'BEGIN {
      printf "%6d %16.2f %14.1f %16.0f\n", n, 100 * t / hz / s / n, m / n / 1024, b / s / n }'
  stop_all
}

printf '%6s %16s %14s %16s\n' nodes 'core percent' 'memory MB' 'bytes/s'
for NODES in "${@:-12}"; do
  measure "$NODES"
done
