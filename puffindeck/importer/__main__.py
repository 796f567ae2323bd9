"""The command: an HAProxy configuration in, an operator's file and an account of every statement out."""

from __future__ import annotations

import os
import sys
from argparse import ArgumentParser
from pathlib import Path
from tempfile import NamedTemporaryFile

import msgspec

from puffindeck.importer import haproxy


def replaced(path: Path, text: bytes) -> None:
    """Write a file whole or not at all: what reads it meanwhile has the old one."""
    with NamedTemporaryFile(dir=path.parent, prefix=f".{path.name}.", delete=False) as file:
        try:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
            os.replace(file.name, path)
        except BaseException:
            os.unlink(file.name)
            raise


def main() -> int:
    """0: done; 2: can't be read or written, and nothing was; 3: `--strict`, and traffic is affected."""
    arguments = ArgumentParser(prog="puffindeck.importer", description="HAProxy's format, for puffindeck.")
    arguments.add_argument("file", help="an HAProxy configuration")
    arguments.add_argument("--backend", default="", help="which backend, where there are several")
    arguments.add_argument("-o", "--output", default="", help="where to write; standard output if left out")
    arguments.add_argument("--report", default="", help="where to write the account, as JSON")
    arguments.add_argument("--strict", action="store_true",
                           help="write nothing and exit with 3 where traffic is affected by what is refused")
    chosen = arguments.parse_args()
    try:
        text = Path(chosen.file).read_bytes().decode()
        table, account = haproxy.convert(chosen.file, text, chosen.backend, os.environ)
        for line in account.lines():
            print(line, file=sys.stderr)
        counts = account.counts()
        print(f"{len(account.entries)} statements: "
              + ", ".join(f"{counts[v]} {v}" for v in ("carried", "changed", "refused", "harmless")),
              file=sys.stderr)
        if chosen.report:
            replaced(Path(chosen.report), msgspec.json.format(msgspec.json.encode(account.report())) + b"\n")
        if chosen.strict and account.affects_traffic():
            return 3
        written = msgspec.toml.encode(table)
        if chosen.output:
            replaced(Path(chosen.output), written)
        else:
            sys.stdout.buffer.write(written)
    except haproxy.ImportError_ as error:
        print(f"puffindeck.importer: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        number = error.object[: error.start].count(b"\n") + 1
        print(f"puffindeck.importer: {chosen.file}:{number}: not UTF-8", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"puffindeck.importer: {error.filename or chosen.file}: {error.strerror}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
