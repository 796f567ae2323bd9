#!/bin/sh
# Fills .venv with what the program runs on. The stamp is written last, so a half-made one is made anew.
set -eu
cd "$(dirname "$0")/.."
if cmp -s requirements.txt .venv/complete; then
    exit 0
fi
rm -rf .venv
python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt
.venv/bin/python -m compileall -q .venv/lib puffindeck || true  # the file system is read-only in service
cp requirements.txt .venv/complete
