"""What the importer's command does with files: read them all, write one whole or not at all."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from tempfile import NamedTemporaryFile

from puffindeck.importer.statement import ImportError_


def texts(paths: Iterable[Path]) -> list[tuple[str, str]]:
    """Names and texts of files; of a folder its *.cfg, by name. ImportError_: a line is not UTF-8."""
    found = []
    for path in paths:
        inside = sorted(path.glob("*.cfg")) if path.is_dir() else [path]
        if not inside:
            raise ImportError_(f"{path}: a folder without *.cfg")
        for file in inside:
            octets = file.read_bytes()
            try:
                found.append((str(file), octets.decode()))
            except UnicodeDecodeError as error:
                number = octets[: error.start].count(b"\n") + 1
                raise ImportError_(f"{file}:{number}: not UTF-8") from None
    return found


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
