#!/bin/sh
# Creates .venv with the program's dependencies. .venv/complete is written last, so an incomplete .venv is rebuilt.
set -eu
cd "$(dirname "$0")/.."
if cmp -s requirements.txt .venv/complete; then
    exit 0
fi
rm -rf .venv
python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt
# The program runs on a read-only file system, where it cannot store compiled modules.
.venv/bin/python -m compileall -q .venv/lib puffindeck || true
cp requirements.txt .venv/complete
