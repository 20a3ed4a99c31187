#!/bin/bash
# Nothing to compile: the stand-ins of the scripts are Python (3.11, no packages). Says so if they could not be run,
# or if the program of the deploy file is not there.
cd "$(dirname "$0")/.." || exit 1
python3 -B -c 'import ast, sys, tomllib; [ast.parse(open(name).read(), name) for name in sys.argv[1:]]' \
  review/stand_ins.py review/*/*.py || exit 1
[ -x target/dockrock-platform-node ] || { echo "target/dockrock-platform-node is not built"; exit 1; }
