"""The command: an HAProxy configuration in, an operator's file out."""

from __future__ import annotations

import os
import sys
from argparse import ArgumentParser
from pathlib import Path

import msgspec

from puffindeck.importer import haproxy


def main() -> int:
    """What can't be carried over is named on standard error; what can't be read ends it with code 2."""
    arguments = ArgumentParser(prog="puffindeck.importer", description="HAProxy's format, for puffindeck.")
    arguments.add_argument("file", help="an HAProxy configuration")
    arguments.add_argument("--backend", default="", help="which backend, where there are several")
    arguments.add_argument("-o", "--output", default="", help="where to write; standard output if left out")
    chosen = arguments.parse_args()
    try:
        text = Path(chosen.file).read_text()
        table, notes = haproxy.convert(chosen.file, text, chosen.backend, os.environ)
    except (OSError, UnicodeDecodeError) as error:
        print(f"puffindeck.importer: {chosen.file}: {error}", file=sys.stderr)
        return 2
    except haproxy.ImportError_ as error:
        print(f"puffindeck.importer: {error}", file=sys.stderr)
        return 2
    for note in notes:
        print(note, file=sys.stderr)
    written = msgspec.toml.encode(table)
    if chosen.output:
        Path(chosen.output).write_bytes(written)
    else:
        sys.stdout.buffer.write(written)
    return 0


if __name__ == "__main__":
    sys.exit(main())
