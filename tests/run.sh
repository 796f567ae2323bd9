#!/bin/sh
# Lint, types and tests. Wants what requirements-dev.txt names on the path.
set -eu
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
lint-imports --no-cache
mypy
python -m pytest
