#!/bin/sh
# Exits with 1 if a caller got a part of an answer as the whole, 0 if none did, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
# No bytecode beside the sources.
export PYTHONDONTWRITEBYTECODE=1
# An error before the case begins must not look like a broken rule.
python3 -c 'import case' || exit 2
exec python3 case.py
