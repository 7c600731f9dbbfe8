#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python 3 without packages, in lib/, and
# run in the process of the script: this only checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for path in sys.argv[1:]: ast.parse(open(path, encoding="utf-8").read(), path)' lib/*.py ./*/case.py
