"""A statement of HAProxy's configuration, and the error that reports its location."""

from __future__ import annotations

from dataclasses import dataclass


class HaproxyImportError(Exception):
    """The input cannot be imported until the fault at the location is corrected.

    `location` is FILE:LINE or a path; `problem` describes the fault.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem


@dataclass(slots=True)
class Statement:
    """A configuration statement and its location."""

    location: str  # FILE:LINE
    words: list[str]
    unset_variable: str = ""  # "WORD: VARIABLE" for the first word with an unset variable; empty if none

    def error(self, problem: str) -> HaproxyImportError:
        """Return an error at this statement's location."""
        return HaproxyImportError(self.location, problem)
