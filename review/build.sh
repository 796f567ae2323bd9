#!/bin/sh
# Builds what the cases need beside the build of the deploy file: the fleet's packages, as requirements-operator.txt
# has them, without the QUIC front's libraries, which would be loaded into each node. The stand-ins are Python files
# on the standard library and are only compiled here.
set -eu
cd "$(dirname "$0")/.."
# shellcheck disable=SC2046  # each line has one or two words for pip
.venv/bin/pip -q install $(grep -E '^(-e |xxhash)' requirements-operator.txt)
.venv/bin/python -m compileall -q review/standins review/[0-9]* || true
