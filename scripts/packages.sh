#!/bin/bash
# Prints the system packages of this project, one a line, with shell tools alone: a bare machine has no Python.
# "product": those that deploy/system.toml lists for a clean build; "all" (default): with what the tests add.
set -euo pipefail
cd "$(dirname "$0")/.."
sed -n '/^packages *= *\[/,/\]/p' deploy/system.toml | sed 's/#.*//' | grep -o '"[^"]*"' | tr -d '"'
if [ "${1:-all}" = all ]; then cat .ci/packages; fi
