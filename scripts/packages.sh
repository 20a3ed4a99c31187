#!/bin/bash
# Prints the system packages of this project, one per line, using only shell tools: a fresh machine has no Python.
# "product": the packages in deploy/system.toml, for a clean build; "all" (default): also those for the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
sed -n '/^packages *= *\[/,/\]/p' deploy/system.toml | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"'
if [ "${1:-all}" = all ]; then cat .ci/packages; fi
