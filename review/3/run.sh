#!/bin/sh
# Exits with 1 if an accepted batch job can no longer be read, 0 if it is read, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
