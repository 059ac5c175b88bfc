#!/bin/sh
# Exits with 1 if an accepted batch job can no longer be read, 0 if it is read, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
# No bytecode beside the sources.
export PYTHONDONTWRITEBYTECODE=1
# An error before the case begins must not look like a broken rule.
python3 -c 'import case' || exit 2
exec python3 case.py
