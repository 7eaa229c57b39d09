#!/usr/bin/env bash
# Builds the programs with the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
COMMAND=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
bash -c "$COMMAND" >/tmp/camphorpin-deployed.log 2>&1 || {
  tail -20 /tmp/camphorpin-deployed.log
  exit 1
}
echo "deploy build: done"
