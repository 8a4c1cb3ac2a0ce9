#!/bin/sh
# Builds what the cases need beside the program itself. The stand-ins are Python scripts that use nothing but the standard
# library (3.11 or newer), so that there is nothing to compile: this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"'
for script in lib/standins.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$script"
done
