"""A statement of HAProxy's configuration, and the error that names where it stands."""

from __future__ import annotations

from dataclasses import dataclass


class HaproxyImportError(Exception):
    """The input cannot be imported: change what stands at the location.

    `location` is FILE:LINE, or a path; `problem` says what is wrong there.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem


@dataclass(slots=True)
class Statement:
    """A statement and where it stands."""

    location: str  # FILE:LINE
    words: list[str]
    unset_variable: str = ""  # the first word with a variable that is not set, and the variable's name

    def error(self, problem: str) -> HaproxyImportError:
        """An error at this statement."""
        return HaproxyImportError(self.location, problem)
