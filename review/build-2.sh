#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. They need
# only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
SOURCES=review/standins-2
OUTPUT=target/review-2
mkdir -p "$OUTPUT"
for NAME in Http Store Record Worker Node Fleet; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -c "$SOURCES/$NAME.cpp" -o "$OUTPUT/$NAME.o" &
done
wait
for NAME in LostConfiguration SlowReader ForeignHeartbeat ForgottenCrashes PopularRead; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread "$SOURCES/$NAME.cpp" "$OUTPUT"/{Http,Store,Record,Worker,Node,Fleet}.o -o "$OUTPUT/$NAME" &
done
wait
for NAME in LostConfiguration SlowReader ForeignHeartbeat ForgottenCrashes PopularRead; do
  [ -x "$OUTPUT/$NAME" ]
done
