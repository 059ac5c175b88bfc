#!/bin/sh
# Plays case 8; exits with 1 if the rule was broken, 0 if it held, 2 if it could not be run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="../../target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
