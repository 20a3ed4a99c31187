#!/bin/bash
# The whole test command: unit tests and the simulator's fixed seeds, the file
# rules, then a live fleet through short scenarios with a verdict.
set -euo pipefail
build="${1:-build}"
cd "$(dirname "$0")/.."
"$build/dockrock-tests"
python3 scripts/check_files.py
passed=0
failed=0
port=23000
for scenario in steady kills takeover freezes rolling revoke weights drains races crashes overload bad_input total_loss light; do
  for deployment in magnolia-junction registrikeskus-tallinn; do
    case "$scenario-$deployment" in
      steady-*|kills-*|rolling-magnolia*|revoke-registri*|weights-magnolia*|drains-registri*|races-magnolia*|crashes-registri*|total_loss-magnolia*|takeover-registri*|freezes-magnolia*|overload-registri*|bad_input-magnolia*|light-registri*) ;;
      *) continue ;;
    esac
    seconds=10
    rate=15
    if [ "$scenario" = rolling ]; then seconds=30; fi
    if [ "$scenario" = light ]; then seconds=30 rate=4; fi
    if python3 scripts/prove.py --build "$build" --deployment "$deployment" --scenario "$scenario" --seconds "$seconds" --rate "$rate" --port "$port"; then
      passed=$((passed + 1))
    else
      failed=$((failed + 1))
    fi
    port=$((port + 200))
  done
done
if python3 scripts/prove.py --build "$build" --scenario planted --rate 15 --port "$port" > /dev/null; then
  echo "the planted fault was not caught"
  failed=$((failed + 1))
else
  echo "the planted fault was caught"
  passed=$((passed + 1))
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
