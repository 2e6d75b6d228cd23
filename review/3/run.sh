#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.run/venv/bin/python || exit 2
exec ../../.run/venv/bin/python -B case.py
