#!/bin/sh
# Runs the linters, the type checker and all tests. The tools of requirements-dev.txt must be on the path.
set -eu
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
lint-imports --no-cache
mypy
# Both test suites mostly wait for timers, so they run in parallel. The packages' output is printed last.
packages_output=$(mktemp)
trap 'rm -f "$packages_output"' EXIT
python -m pytest packages > "$packages_output" 2>&1 &
packages=$!
status=0
python -m pytest tests || status=$?
wait "$packages" || status=$?
cat "$packages_output"
exit "$status"
