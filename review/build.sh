#!/bin/sh
# Builds what the cases need beside the build of the deploy file: the packages that an operator's own installation
# has (requirements-operator.txt). The stand-ins are Python files on the standard library and are only compiled here.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -r requirements-operator.txt
.venv/bin/python -m compileall -q review/standins review/[0-9]* || true
