#!/bin/sh
# Lint, types and tests. Wants what requirements-dev.txt names on the path.
set -eu
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
lint-imports --no-cache
mypy
# Both suites mostly wait for time to pass, so they run side by side; the packages' output follows the other's.
packages_output=$(mktemp)
trap 'rm -f "$packages_output"' EXIT
python -m pytest packages > "$packages_output" 2>&1 &
packages=$!
status=0
python -m pytest tests || status=$?
wait "$packages" || status=$?
cat "$packages_output"
exit "$status"
