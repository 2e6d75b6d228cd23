#!/bin/sh
# Builds the stand-ins of the cases: they are Python files that use the standard library alone, and run in the
# virtual environment that the build of the deploy file has made.
set -eu
cd "$(dirname "$0")/.."
.run/venv/bin/python -m py_compile review/standins.py review/bad_clients.py review/1/case.py review/2/case.py review/3/case.py
