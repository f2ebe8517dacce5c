#!/bin/bash
# Builds what the scripts start beside the programs of the deploy file. The stand-ins are Python programs that use the
# standard library only, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py */case.py tried/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
