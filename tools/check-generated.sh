#!/usr/bin/env bash
# Fails if the committed Cap'n Proto code does not match the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
OUTPUT=$(mktemp -d)
trap 'rm -rf "$OUTPUT"' EXIT
for SCHEMA in $(git ls-files '*.capnp'); do
  DIR=$(dirname "$SCHEMA")
  capnp compile -o"c++:$OUTPUT" --src-prefix="$DIR" "$SCHEMA"
  for FILE in "$OUTPUT/$(basename "$SCHEMA")".*; do
    diff -q "$FILE" "$DIR/$(basename "$FILE")"
  done
done
echo "generated code: matches the schema"
