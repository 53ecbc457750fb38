#!/bin/sh
# Builds every stand-in of the cases. They are scripts for Python 3 with its standard library: there is nothing to compile, so
# this looks whether they can be read. The programs under review come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
