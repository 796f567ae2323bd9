"""Files of the import command: the sources are read first, and each output is written whole or not at all."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from tempfile import NamedTemporaryFile

from puffindeck.importer.sections import SourceFile
from puffindeck.importer.statement import HaproxyImportError


def read_file(path: Path) -> SourceFile:
    """Read a file. Raises HaproxyImportError for a line that is not UTF-8, and OSError."""
    octets = path.read_bytes()
    try:
        return SourceFile(str(path), octets.decode())
    except UnicodeDecodeError as error:
        number = octets[: error.start].count(b"\n") + 1
        raise HaproxyImportError(f"{path}:{number}", "not UTF-8") from None


def read_files(paths: Iterable[Path]) -> list[SourceFile]:
    """Read files, and of folders their *.cfg by name.

    Raises HaproxyImportError for a folder without *.cfg and for a line that is not UTF-8, and OSError.
    """
    sources: list[SourceFile] = []
    for path in paths:
        files = sorted(path.glob("*.cfg")) if path.is_dir() else [path]
        if not files:
            raise HaproxyImportError(str(path), "a folder without *.cfg")
        sources += [read_file(file) for file in files]
    return sources


def replace_file(path: Path, content: bytes) -> None:
    """Write a file whole or not at all: another program reads the old content or the new. Raises OSError."""
    with NamedTemporaryFile(dir=path.parent, prefix=f".{path.name}.", delete=False) as file:
        try:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
            os.replace(file.name, path)
        except BaseException:
            os.unlink(file.name)
            raise
