#!/bin/sh
# The stand-ins of the scripts are review/fleet.py and the case.py beside each run.sh: plain Python
# of the standard library, nothing has to be built. This only checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
for file in review/fleet.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
