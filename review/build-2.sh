#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python files on the libraries of
# target/deps, which the deploy file's build puts there, so they are only checked here.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import aiohttp"
for file in review/stage2.py review/[4-8]/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
