"""Conditional parts of a file: `.if`, `.elif`, `.else`, `.endif`, and what the manual (2.4) lets them ask."""

from __future__ import annotations

import re
from collections.abc import Mapping

from puffindeck.importer.statement import ImportError_, Line

VERSION = (2, 6)  # the one whose manual the importer goes by
TOKEN = re.compile(r"\s*(\|\||&&|!|\(|\)|[a-z_]+\([^()]*\)|[^\s()!&|]+)")
PREDICATE = re.compile(r"([a-z_]+)\((.*)\)")


class _Condition:
    """One condition: terms with `!`, `&&`, `||` and parentheses."""

    def __init__(self, line: Line, environment: Mapping[str, str]) -> None:
        self.line, self.environment = line, environment
        text = " ".join(line.words[1:])
        self.tokens = TOKEN.findall(text)
        if "".join(self.tokens) != re.sub(r"\s+", "", text):
            raise line.bad(f"{text!r} is no condition")
        self.place = 0

    def whole(self) -> bool:
        if not self.tokens:
            return False
        met = self._either()
        if self.place < len(self.tokens):
            raise self.line.bad(f"{self.tokens[self.place]!r} is out of place")
        return met

    def _next(self) -> str:
        return self.tokens[self.place] if self.place < len(self.tokens) else ""

    def _either(self) -> bool:
        met = self._both()
        while self._next() == "||":
            self.place += 1
            met = self._both() or met
        return met

    def _both(self) -> bool:
        met = self._term()
        while self._next() == "&&":
            self.place += 1
            met = self._term() and met
        return met

    def _term(self) -> bool:
        token = self._next()
        self.place += 1
        if token == "!":
            return not self._term()
        if token == "(":
            met = self._either()
            if self._next() != ")":
                raise self.line.bad("a ( is never closed")
            self.place += 1
            return met
        if token.isdecimal():
            return int(token) != 0
        found = PREDICATE.fullmatch(token)
        if not found:
            raise self.line.bad(f"{token!r} is no condition" if token else "a condition is missing")
        return self._predicate(found[1], [part.strip().strip("\"'") for part in found[2].split(",")])

    def _predicate(self, name: str, given: list[str]) -> bool:
        if name == "defined" and len(given) == 1:
            return given[0] in self.environment
        if name in ("streq", "strneq") and len(given) == 2:
            return (given[0] == given[1]) == (name == "streq")
        if name in ("version_atleast", "version_before") and len(given) == 1:
            digits = re.match(r"(\d+)\.(\d+)", given[0])
            if not digits:
                raise self.line.bad(f"{given[0]!r} is no version")
            wanted = int(digits[1]), int(digits[2])
            return (wanted <= VERSION) == (name == "version_atleast")
        raise self.line.bad(
            f"{name}({', '.join(given)}) can't be answered here: write the file out without it"
        )


class Branches:
    """Which parts of a file count, line by line."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self._environment = environment
        # of each open .if: where it stands, does this part count, has one counted, do those around it, .else?
        self._open: list[tuple[Line, bool, bool, bool, bool]] = []

    @property
    def taken(self) -> bool:
        """Does what stands here count?"""
        return all(here for _, here, _, _, _ in self._open)

    def take(self, line: Line) -> str:
        """Read a line that begins with a dot, and say what came of it. ImportError_ names a bad one."""
        word = line.words[0]
        if word in (".notice", ".warning", ".diag"):
            return "a word for the log" if self.taken else "not met"
        if word in (".alert", ".error"):
            if self.taken:
                raise line.bad(" ".join(line.words[1:]) or word)
            return "not met"
        if word == ".if":
            around = self.taken
            met = around and self._met(line)
            self._open.append((line, met, met, around, False))
            return "met" if met else "not met"
        if not self._open:
            raise line.bad(
                f"{word} without .if" if word in (".elif", ".else", ".endif") else f"{word}: not known"
            )
        first, _, before, around, ended = self._open.pop()
        if word == ".endif":
            return "the end of a condition"
        if ended or word not in (".elif", ".else"):
            raise line.bad(f"{word} behind .else" if ended else f"{word}: not known")
        met = around and not before and (word == ".else" or self._met(line))
        self._open.append((first, met, before or met, around, word == ".else"))
        return "met" if met else "not met"

    def _met(self, line: Line) -> bool:
        if line.unset:
            raise line.bad(f"{line.unset} is not set in the environment")
        return _Condition(line, self._environment).whole()

    def end(self, file: str) -> None:
        """The file is over: is anything still open?"""
        if self._open:
            raise ImportError_(f"{self._open[-1][0].at}: .if is never closed in {file}")
