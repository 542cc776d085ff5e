#!/bin/sh
# The stand-ins are Python 3 (which scripts/install-deps installs) and need no build; checks that they
# can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
