#!/usr/bin/env bash
# Prepares the stand-ins of the cases that review/REPORT-2.md lists. They are Python programs without dependencies, so
# nothing is compiled; a syntax error in one of them fails here.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in "$here"/stand_ins_2/*.py "$here"/[4-8]/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
