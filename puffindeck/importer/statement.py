"""A statement of a configuration, and the error that names where it stands."""

from __future__ import annotations

from dataclasses import dataclass


class ImportError_(Exception):
    """The input can't be read; the text names file and line."""


@dataclass(slots=True)
class Line:
    """A statement and where it stands."""

    at: str
    words: list[str]
    unset: str = ""  # the first variable in it that nobody has set

    def bad(self, why: str) -> ImportError_:
        """An error that names this line."""
        return ImportError_(f"{self.at}: {why}")
