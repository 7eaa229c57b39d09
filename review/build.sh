#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Each program holds the
# stand-ins of its case: the platform's store, the backend servers and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for SOURCE in review/[1-5]/Case.cpp; do
  NUMBER=$(basename "$(dirname "$SOURCE")")
  g++ -std=c++20 -O1 -pthread -Wall -Wextra "$SOURCE" -o "target/review/case-$NUMBER"
done
echo "review: built"
