"""Reads the source files of the import command, and replaces its output files atomically."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from tempfile import NamedTemporaryFile

from puffindeck.importer.sections import SourceFile
from puffindeck.importer.statement import HaproxyImportError


def read_file(path: Path) -> SourceFile:
    """Read a file. Raises HaproxyImportError for a line that is not valid UTF-8, or OSError."""
    octets = path.read_bytes()
    try:
        return SourceFile(str(path), octets.decode())
    except UnicodeDecodeError as error:
        number = octets[: error.start].count(b"\n") + 1
        raise HaproxyImportError(f"{path}:{number}", "not UTF-8") from None


def read_files(paths: Iterable[Path]) -> list[SourceFile]:
    """Read files. A folder stands for its *.cfg files in the order of their names.

    Raises HaproxyImportError for a folder without *.cfg files and for a line that is not valid UTF-8, and
    OSError if a file cannot be read.
    """
    sources: list[SourceFile] = []
    for path in paths:
        files = sorted(path.glob("*.cfg")) if path.is_dir() else [path]
        if not files:
            raise HaproxyImportError(str(path), "the folder has no *.cfg files")
        sources += [read_file(file) for file in files]
    return sources


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically: other programs read either the old or the new content. Raises OSError."""
    with NamedTemporaryFile(dir=path.parent, prefix=f".{path.name}.", delete=False) as file:
        try:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
            os.replace(file.name, path)
        except BaseException:
            os.unlink(file.name)
            raise
