#!/usr/bin/env bash
# Fails if the committed Cap'n Proto code does not match the schema.
set -euo pipefail
cd "$(dirname "$0")/.."
SCHEMA_DIR=packages/wire/camphorpin/generated
[ -d "$SCHEMA_DIR" ] || exit 0
OUTPUT=$(mktemp -d)
trap 'rm -rf "$OUTPUT"' EXIT
capnp compile -o"c++:$OUTPUT" --src-prefix="$SCHEMA_DIR" "$SCHEMA_DIR"/*.capnp
for FILE in "$OUTPUT"/*; do
  diff -q "$FILE" "$SCHEMA_DIR/$(basename "$FILE")"
done
echo "generated code: matches the schema"
