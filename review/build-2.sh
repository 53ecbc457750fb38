#!/bin/sh
# Builds what the cases 6 to 10 start besides the programs of the deploy file. Their stand-ins are Python and need only its
# standard library, so there is nothing to compile: this checks that each file can be read. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec python3 - review/standins_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py <<'CHECK'
import ast, os, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
CHECK
