"""Conditional blocks of a file: `.if`, `.elif`, `.else`, `.endif`, and their conditions (manual, 2.4)."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from puffindeck.importer.statement import HaproxyImportError, Statement

VERSION = (2, 6)  # HAProxy version whose manual the importer follows
TOKEN = re.compile(r"\s*(\|\||&&|!|\(|\)|[a-z_]+\([^()]*\)|[^\s()!&|]+)")
PREDICATE = re.compile(r"([a-z_]+)\((.*)\)")
MESSAGES = (".notice", ".warning", ".diag")
FATAL_MESSAGES = (".alert", ".error")
MET = "met"
NOT_MET = "not met"


class _Condition:
    """A condition: terms with `!`, `&&`, `||` and parentheses, evaluated by recursive descent."""

    def __init__(self, statement: Statement, environment: Mapping[str, str]) -> None:
        self._statement = statement
        self._environment = environment
        text = " ".join(statement.words[1:])
        self._tokens = TOKEN.findall(text)
        if "".join(self._tokens) != re.sub(r"\s+", "", text):
            raise statement.error(f"{text!r} is not a condition")
        self._position = 0

    def evaluate(self) -> bool:
        """Return whether the condition is met. An empty condition is not met."""
        if not self._tokens:
            return False
        is_met = self._disjunction()
        if self._position < len(self._tokens):
            raise self._statement.error(f"{self._tokens[self._position]!r} is out of place")
        return is_met

    def _peek(self) -> str:
        return self._tokens[self._position] if self._position < len(self._tokens) else ""

    def _disjunction(self) -> bool:
        is_met = self._conjunction()
        while self._peek() == "||":
            self._position += 1
            is_met = self._conjunction() or is_met
        return is_met

    def _conjunction(self) -> bool:
        is_met = self._term()
        while self._peek() == "&&":
            self._position += 1
            is_met = self._term() and is_met
        return is_met

    def _term(self) -> bool:
        token = self._peek()
        self._position += 1
        if token == "!":
            return not self._term()
        if token == "(":
            return self._parenthesized()
        if token.isdecimal():
            return int(token) != 0
        match = PREDICATE.fullmatch(token)
        if not match:
            raise self._statement.error(
                f"{token!r} is not a condition" if token else "a condition is missing"
            )
        arguments = [argument.strip().strip("\"'") for argument in match[2].split(",")]
        return self._predicate(match[1], arguments)

    def _parenthesized(self) -> bool:
        is_met = self._disjunction()
        if self._peek() != ")":
            raise self._statement.error("a ( is never closed")
        self._position += 1
        return is_met

    def _predicate(self, name: str, arguments: list[str]) -> bool:
        if name == "defined" and len(arguments) == 1:
            return arguments[0] in self._environment
        if name in ("streq", "strneq") and len(arguments) == 2:
            return (arguments[0] == arguments[1]) == (name == "streq")
        if name in ("version_atleast", "version_before") and len(arguments) == 1:
            return self._is_version_at_least(arguments[0]) == (name == "version_atleast")
        raise self._statement.error(
            f"{name}({', '.join(arguments)}) is not supported: replace the block by the part that applies"
        )

    def _is_version_at_least(self, text: str) -> bool:
        match = re.match(r"(\d+)\.(\d+)", text)
        if not match:
            raise self._statement.error(f"{text!r} is not a version")
        return (int(match[1]), int(match[2])) <= VERSION


@dataclass(slots=True)
class _Block:
    """An open `.if` block and the state of its current part."""

    statement: Statement  # the .if statement
    is_active: bool  # whether the current part applies
    any_met: bool  # whether the current or an earlier part applies
    is_outer_active: bool  # whether all enclosing blocks apply
    has_else: bool = False


class ConditionalBlocks:
    """Tracks which parts of a file apply, while its statements are read in order."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self._environment = environment
        self._open: list[_Block] = []

    @property
    def is_active(self) -> bool:
        """Whether the statements at the current position apply."""
        return all(block.is_active for block in self._open)

    def read(self, statement: Statement) -> str:
        """Read a statement that begins with a dot. Returns a note for the report.

        Raises HaproxyImportError for a misplaced statement, and for `.alert` or `.error` in a part that
        applies.
        """
        keyword = statement.words[0]
        if keyword in MESSAGES:
            return "a message for the log" if self.is_active else NOT_MET
        if keyword in FATAL_MESSAGES:
            if self.is_active:
                raise statement.error(" ".join(statement.words[1:]) or keyword)
            return NOT_MET
        if keyword == ".if":
            return self._begin(statement)
        if not self._open:
            is_known = keyword in (".elif", ".else", ".endif")
            raise statement.error(f"{keyword} without .if" if is_known else f"{keyword}: unknown keyword")
        if keyword == ".endif":
            self._open.pop()
            return "the end of a condition"
        return self._next_part(statement, self._open.pop())

    def _begin(self, statement: Statement) -> str:
        is_outer_active = self.is_active
        is_met = is_outer_active and self._is_met(statement)
        self._open.append(_Block(statement, is_met, is_met, is_outer_active))
        return MET if is_met else NOT_MET

    def _next_part(self, statement: Statement, block: _Block) -> str:
        """Begin the part after `.elif` or `.else`. Returns a note for the report."""
        keyword = statement.words[0]
        if block.has_else:
            raise statement.error(f"{keyword} after .else")
        if keyword not in (".elif", ".else"):
            raise statement.error(f"{keyword}: unknown keyword")
        is_else = keyword == ".else"
        may_apply = block.is_outer_active and not block.any_met
        is_met = may_apply and (is_else or self._is_met(statement))
        any_met = block.any_met or is_met
        self._open.append(_Block(block.statement, is_met, any_met, block.is_outer_active, is_else))
        return MET if is_met else NOT_MET

    def _is_met(self, statement: Statement) -> bool:
        if statement.unset_variable:
            raise statement.error(f"{statement.unset_variable} is not set in the environment")
        return _Condition(statement, self._environment).evaluate()

    def end(self, file: str) -> None:
        """Raise HaproxyImportError if a block is still open at the end of the last file."""
        if self._open:
            location = self._open[-1].statement.location
            raise HaproxyImportError(location, f".if is never closed in {file}")
