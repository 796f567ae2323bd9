#!/bin/sh
# Creates .venv with the program's dependencies. .venv/complete is written last and names the kind of machine, so an
# incomplete .venv, or one of another kind, is rebuilt.
set -eu
cd "$(dirname "$0")/.."
wanted="$(cat requirements.txt)
# $(uname -m)"
if [ -f .venv/complete ] && [ "$(cat .venv/complete)" = "$wanted" ]; then
    exit 0
fi
rm -rf .venv
python3 -m venv .venv
.venv/bin/pip -q install -r requirements.txt
# The program runs on a read-only file system, where it cannot store compiled modules.
.venv/bin/python -m compileall -q .venv/lib puffindeck || true
printf '%s\n' "$wanted" > .venv/complete
