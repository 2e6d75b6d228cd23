#!/bin/sh
# Makes .run/, all that `run` and `sim` need, inside the repository: a virtual environment of its own, so that a
# library missing from run.lock is seen, and bytecode, as the file system is read-only where they run.
set -eu
cd "$(dirname "$0")/.."
stamp=.run/built
lock=$(cksum < deploy/run.lock)
if [ "$(cat "$stamp" 2>/dev/null || true)" != "$lock" ]; then
    rm -rf .run
    python3 -m venv .run/venv
    .run/venv/bin/python -m pip -q install --disable-pip-version-check --no-deps -r deploy/run.lock
fi
.run/venv/bin/python -m compileall -q runspool
echo "$lock" > "$stamp"
