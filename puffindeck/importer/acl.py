"""Converts ACLs and conditions to groups of route conditions.

Groups are in disjunctive normal form: a route applies if all conditions of any group are met. Supported
criteria are the source address and port of a connection, the port that accepted it, and the number of usable
servers in a pool.

Source: HAProxy's configuration manual, 7.1 (how ACLs match) and 7.2 (how conditions are formed).
"""

from __future__ import annotations

import re
from collections.abc import Callable
from itertools import product
from typing import Any, NamedTuple

from puffindeck.importer.statement import Statement

ConditionGroups = list[list[dict[str, Any]]]  # conditions in the form of an operator's file
ALWAYS: ConditionGroups = [[]]
NEVER: ConditionGroups = []
MAX_GROUPS = 64
PREDEFINED: dict[str, ConditionGroups] = {
    "TRUE": ALWAYS,
    "FALSE": NEVER,
    "LOCALHOST": [[{"on": "source", "is": ["127.0.0.1/8", "::1"]}]],
}
PORT_CRITERIA = {"dst_port": "port", "src_port": "source_port"}
TLS_CRITERIA = ("req.ssl_", "req_ssl_", "ssl_fc", "ssl_c", "ssl_f")  # prefixes
OPERATORS = ("eq", "ge", "gt", "le", "lt")
FLAGS_WITH_ARGUMENT = ("-m", "-f", "-M", "-u")


class UnsupportedConditionError(Exception):
    """A condition has no equivalent here. The message names the unsupported criterion."""


class _Criterion(NamedTuple):
    """A criterion with its flags and values."""

    name: str
    flags: list[str]
    values: list[str]


def negate(groups: ConditionGroups) -> ConditionGroups:
    """Return the negation of groups.

    Raises UnsupportedConditionError if the result has over MAX_GROUPS groups.
    """
    negated = [
        [{**condition, "not": not condition.get("not", False)} for condition in group] for group in groups
    ]
    return _bounded([list(choice) for choice in product(*negated)])


def conjunction(first: ConditionGroups, second: ConditionGroups) -> ConditionGroups:
    """Return the conjunction of groups.

    Raises UnsupportedConditionError if the result has over MAX_GROUPS groups.
    """
    return _bounded([[*left, *right] for left in first for right in second])


def _bounded(groups: ConditionGroups) -> ConditionGroups:
    if len(groups) > MAX_GROUPS:
        raise UnsupportedConditionError(f"over {MAX_GROUPS} alternatives")
    return groups


def _range_of(operator: str, number: int) -> str | None:
    """Return the range LOW:HIGH of an operator other than `eq` and a number; None for an empty range."""
    if operator == "lt":
        return f":{number - 1}" if number else None
    return {"ge": f"{number}:", "gt": f"{number + 1}:", "le": f":{number}"}[operator]


def _parse_ranges(statement: Statement, words: list[str]) -> list[str]:
    """Convert numbers with operators to ranges. The result is empty if no number can match."""
    ranges: list[str] = []
    operator = "eq"
    for word in words:
        if word in OPERATORS:
            operator = word
            continue
        if not re.fullmatch(r"\d*:?\d*", word) or word in ("", ":"):
            raise statement.error(f"{word!r} is not a number or range")
        if operator == "eq":
            ranges.append(word)
            continue
        if not word.isdecimal():
            raise statement.error(f"{operator} requires a number, not {word!r}")
        converted_range = _range_of(operator, int(word))
        if converted_range is not None:
            ranges.append(converted_range)
    if not ranges and not any(word in OPERATORS for word in words):
        raise statement.error("no values to compare with")
    return ranges


def _split_criterion(statement: Statement, words: list[str]) -> _Criterion:
    name, *rest = words
    flags: list[str] = []
    while rest and rest[0].startswith("-"):
        flag = rest.pop(0)
        if flag == "--":
            break
        if flag in FLAGS_WITH_ARGUMENT:
            if not rest:
                raise statement.error(f"{flag} requires an argument")
            flag = f"{flag} {rest.pop(0)}"
        flags.append(flag)
    return _Criterion(name, flags, rest)


def _check_flags(criterion: _Criterion, *supported: str) -> None:
    """Raise UnsupportedConditionError for unsupported flags. -u is allowed because it has no effect here."""
    if any(flag not in supported and not flag.startswith("-u") for flag in criterion.flags):
        raise UnsupportedConditionError(f"{criterion.name} compared by {', '.join(criterion.flags)}")


def _parse_port(statement: Statement, criterion: _Criterion) -> ConditionGroups:
    _check_flags(criterion, "-m int")
    ranges = _parse_ranges(statement, criterion.values)
    return [[{"on": PORT_CRITERIA[criterion.name], "is": ranges}]] if ranges else NEVER


def _parse_usable_servers(statement: Statement, criterion: _Criterion, backend: str) -> ConditionGroups:
    _check_flags(criterion, "-m int")
    ranges = _parse_ranges(statement, criterion.values)
    if not ranges:
        return NEVER
    if not backend:
        raise UnsupportedConditionError("nbsrv of the current backend")
    return [[{"on": "usable", "pool": backend, "is": ranges}]]


def _parse_source(statement: Statement, criterion: _Criterion) -> ConditionGroups:
    _check_flags(criterion, "-m ip", "-n")
    if not criterion.values:
        raise statement.error("src has no addresses")
    return [[{"on": "source", "is": criterion.values}]]


def parse_criterion(statement: Statement, words: list[str]) -> ConditionGroups:
    """Convert an ACL's criterion with its flags and values to groups.

    Raises UnsupportedConditionError for a criterion without an equivalent, and HaproxyImportError for one
    that is not valid in HAProxy.
    """
    criterion = _split_criterion(statement, words)
    name = criterion.name
    if any(flag.startswith(("-f", "-M")) for flag in criterion.flags):
        raise UnsupportedConditionError("patterns from a file")
    if name in ("always_true", "always_false"):
        return ALWAYS if name == "always_true" else NEVER
    if name in PORT_CRITERIA:
        return _parse_port(statement, criterion)
    usable_servers = re.fullmatch(r"nbsrv(?:\(([^()]*)\))?", name)
    if usable_servers:
        return _parse_usable_servers(statement, criterion, usable_servers[1] or "")
    if name == "src":
        return _parse_source(statement, criterion)
    if name.startswith(TLS_CRITERIA):
        raise UnsupportedConditionError(f"{name}: no TLS is read here")
    raise UnsupportedConditionError(f"{name}: this property of a connection is not known here")


class Acls:
    """The ACLs of a proxy by name. Several statements of the same name are alternatives."""

    def __init__(self) -> None:
        self._groups: dict[str, ConditionGroups] = {}
        self._unsupported: dict[str, str] = {}  # reason, by name

    def add(self, statement: Statement, arguments: list[str]) -> None:
        """Add an `acl` statement with its arguments.

        Raises HaproxyImportError for an invalid statement, and UnsupportedConditionError for one without an
        equivalent. Conditions that use an unsupported ACL raise UnsupportedConditionError too.
        """
        name, *criterion = arguments
        if not criterion:
            raise statement.error(f"acl {name} has no criterion")
        try:
            self._groups.setdefault(name, []).extend(parse_criterion(statement, criterion))
        except UnsupportedConditionError as error:
            self._unsupported.setdefault(name, str(error))
            raise

    def find(self, statement: Statement, name: str) -> ConditionGroups:
        """Return the groups of an ACL by name.

        Raises UnsupportedConditionError for an unsupported ACL, and HaproxyImportError for an unknown one.
        """
        if name in self._unsupported:
            raise UnsupportedConditionError(f"acl {name}: {self._unsupported[name]}")
        if name in self._groups:
            return self._groups[name]
        if name in PREDEFINED:
            return PREDEFINED[name]
        if re.fullmatch(r"[A-Z_0-9]+", name):
            raise UnsupportedConditionError(f"{name}: this property of a connection is not known here")
        raise statement.error(f"there is no acl {name}")

    def parse_condition(self, statement: Statement, words: list[str]) -> ConditionGroups:
        """Convert `if ...` or `unless ...` to groups; without words the groups are always met.

        Raises UnsupportedConditionError for a condition without an equivalent, and HaproxyImportError for an
        invalid one.
        """
        if not words:
            return ALWAYS
        kind, *rest = words
        if kind not in ("if", "unless") or not rest:
            raise statement.error(f"expected if or unless and a condition, not {' '.join(words)!r}")
        groups = _ConditionReader(statement, rest, self.find).read()
        return negate(groups) if kind == "unless" else _bounded(groups)


class _ConditionReader:
    """Parses a condition: alternatives joined by `or`, each a conjunction of terms."""

    def __init__(
        self,
        statement: Statement,
        words: list[str],
        find_acl: Callable[[Statement, str], ConditionGroups],
    ) -> None:
        self._statement = statement
        self._words = list(words)
        self._find_acl = find_acl
        self._alternatives: list[ConditionGroups] = []
        self._terms: list[ConditionGroups] = []  # of the current alternative
        self._is_negated = False  # whether the next term is negated

    def read(self) -> ConditionGroups:
        """Return the groups of all alternatives."""
        while self._words:
            self._read_word(self._words.pop(0))
        if not self._terms or self._is_negated:
            raise self._statement.error("the condition is incomplete")
        self._end_alternative()
        return [group for alternative in self._alternatives for group in alternative]

    def _read_word(self, word: str) -> None:
        if word in ("or", "||"):
            if not self._terms or self._is_negated:
                raise self._statement.error(f"{word} has no condition before it")
            self._end_alternative()
            return
        name = word.lstrip("!")
        if (len(word) - len(name)) % 2:
            self._is_negated = not self._is_negated
        if name:
            self._read_term(name)
        elif not self._words:
            raise self._statement.error("! has no condition after it")

    def _read_term(self, name: str) -> None:
        groups = self._read_anonymous_acl() if name == "{" else self._find_acl(self._statement, name)
        self._terms.append(negate(groups) if self._is_negated else groups)
        self._is_negated = False

    def _read_anonymous_acl(self) -> ConditionGroups:
        if "}" not in self._words:
            raise self._statement.error("a { is never closed")
        end = self._words.index("}")
        criterion = self._words[:end]
        del self._words[: end + 1]
        if not criterion:
            raise self._statement.error("{ } is empty")
        return parse_criterion(self._statement, criterion)

    def _end_alternative(self) -> None:
        groups = ALWAYS
        for term in self._terms:
            groups = conjunction(groups, term)
        self._alternatives.append(groups)
        self._terms = []
