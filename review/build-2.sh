#!/bin/sh
# Builds what the cases 6 to 10 need beside the build of the deploy file. Their stand-ins are Python files that use
# the standard library alone. The libraries of the QUIC front, the importer and the fleet, as requirements-operator.txt
# declares them, go to a folder of their own, so that .venv stays as the deploy file has it.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
build=review/standins2/build
mkdir -p "$build"
grep -E '^(aioquic|click|tomli-w|xxhash)==' requirements-operator.txt > "$build/requirements.txt"
echo "# $(uname -m)" >> "$build/requirements.txt"  # a folder of another kind of machine is made anew
if ! cmp -s "$build/requirements.txt" "$build/complete"; then
    rm -rf "$build/libraries"
    .venv/bin/pip -q install --target "$build/libraries" -r "$build/requirements.txt"
    cp "$build/requirements.txt" "$build/complete"
fi
