"""ACLs and the conditions made of them, as groups of route conditions: all of a group, any of the groups.

From the manual, 7.1 (how ACLs match) and 7.2 (how conditions are formed). What this program knows of a
connection is less than HAProxy does: its source, the port it came to, and how many servers a pool has.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from itertools import product
from typing import Any

from puffindeck.importer.statement import Line

Groups = list[list[dict[str, Any]]]  # conditions as an operator's file has them
ALWAYS: Groups = [[]]
NEVER: Groups = []
MOST_GROUPS = 64
PREDEFINED: dict[str, Groups] = {
    "TRUE": ALWAYS,
    "FALSE": NEVER,
    "LOCALHOST": [[{"on": "source", "is": ["127.0.0.1/8", "::1"]}]],
}
FIGURES = {"dst_port": "port", "src_port": "source_port"}
OPERATORS = ("eq", "ge", "gt", "le", "lt")


class Unsupported(Exception):
    """This program knows nothing that such a condition could be held against."""


def negation(groups: Groups) -> Groups:
    """What holds exactly where these do not."""
    turned = [[{**one, "not": not one.get("not", False)} for one in group] for group in groups]
    return _bounded([list(choice) for choice in product(*turned)])


def both(one: Groups, other: Groups) -> Groups:
    """What holds where both do."""
    return _bounded([[*a, *b] for a in one for b in other])


def _bounded(groups: Groups) -> Groups:
    if len(groups) > MOST_GROUPS:
        raise Unsupported(f"over {MOST_GROUPS} alternatives")
    return groups


def _ranges(line: Line, words: list[str]) -> list[str] | None:
    """Integers with operators as ranges; None where nothing can fit."""
    found, operator = [], "eq"
    for word in words:
        if word in OPERATORS:
            operator = word
            continue
        if not re.fullmatch(r"\d*:?\d*", word) or word in ("", ":"):
            raise line.bad(f"{word!r} is no number or range")
        if operator == "eq":
            found.append(word)
            continue
        if not word.isdecimal():
            raise line.bad(f"{operator} wants a number, not {word!r}")
        figure = int(word)
        if operator == "lt" and figure == 0:
            continue
        found.append(
            {"ge": f"{figure}:", "gt": f"{figure + 1}:", "le": f":{figure}", "lt": f":{figure - 1}"}[operator]
        )
    if not found and not any(word in OPERATORS for word in words):
        raise line.bad("no values to compare with")
    return found or None


def criterion(line: Line, words: list[str]) -> Groups:
    """What an ACL's criterion, flags and values ask. Unsupported says why this program can't tell."""
    name, *rest = words
    flags: list[str] = []
    while rest and rest[0].startswith("-"):
        flag = rest.pop(0)
        if flag == "--":
            break
        if flag in ("-m", "-f", "-M", "-u"):
            if not rest:
                raise line.bad(f"{flag} wants a word behind it")
            flags.append(f"{flag} {rest.pop(0)}")
        else:
            flags.append(flag)
    if any(flag.startswith(("-f", "-M")) for flag in flags):
        raise Unsupported("patterns from a file")
    if name in ("always_true", "always_false"):
        return ALWAYS if name == "always_true" else NEVER
    pool = re.fullmatch(r"nbsrv(?:\(([^()]*)\))?", name)
    if name in FIGURES or pool:
        if any(flag not in ("-m int", "-u 0") and not flag.startswith("-u") for flag in flags):
            raise Unsupported(f"{name} compared by {', '.join(flags)}")
        ranges = _ranges(line, rest)
        if ranges is None:
            return NEVER
        if pool:
            if not pool[1]:
                raise Unsupported("nbsrv of the backend at hand")
            return [[{"on": "usable", "pool": pool[1], "is": ranges}]]
        return [[{"on": FIGURES[name], "is": ranges}]]
    if name == "src":
        if any(flag not in ("-m ip", "-n") and not flag.startswith("-u") for flag in flags):
            raise Unsupported(f"src compared by {', '.join(flags)}")
        if not rest:
            raise line.bad("src has no addresses")
        return [[{"on": "source", "is": rest}]]
    if name.startswith(("req.ssl_", "req_ssl_", "ssl_fc", "ssl_c", "ssl_f")):
        raise Unsupported(f"{name}: no TLS is read here")
    raise Unsupported(f"{name}: nothing that is known of a connection here")


class Acls:
    """The ACLs of a proxy, by name. Lines of one name are alternatives."""

    def __init__(self) -> None:
        self._groups: dict[str, Groups] = {}
        self._why: dict[str, str] = {}

    def add(self, line: Line, words: list[str]) -> str:
        """An `acl` line's words behind `acl`. Says why it can't be had here, or nothing."""
        name, *rest = words
        if not rest:
            raise line.bad(f"acl {name} has no criterion")
        try:
            self._groups.setdefault(name, []).extend(criterion(line, rest))
        except Unsupported as error:
            self._why.setdefault(name, str(error))
            return str(error)
        return ""

    def _named(self, line: Line, name: str) -> Groups:
        if name in self._why:
            raise Unsupported(f"acl {name}: {self._why[name]}")
        if name in self._groups:
            return self._groups[name]
        if name in PREDEFINED:
            return PREDEFINED[name]
        if re.fullmatch(r"[A-Z_0-9]+", name):
            raise Unsupported(f"{name}: nothing that is known of a connection here")
        raise line.bad(f"there is no acl {name}")

    def condition(self, line: Line, words: list[str]) -> Groups:
        """`if ...` or `unless ...`; without a word always. Unsupported says why it can't be told here."""
        if not words:
            return ALWAYS
        kind, *rest = words
        if kind not in ("if", "unless") or not rest:
            raise line.bad(f"if or unless, and a condition, in place of {' '.join(words)!r}")
        groups = [group for term in self._alternatives(line, rest) for group in term]
        return negation(groups) if kind == "unless" else _bounded(groups)

    def _alternatives(self, line: Line, words: list[str]) -> Iterable[Groups]:
        terms: list[Groups] = []
        negated, rest = False, list(words)
        found: list[Groups] = []
        while rest:
            word = rest.pop(0)
            if word in ("or", "||"):
                if not terms or negated:
                    raise line.bad(f"{word} has no condition before it")
                found.append(self._all(terms))
                terms = []
                continue
            while word.startswith("!"):
                negated, word = not negated, word[1:]
            if not word:
                if not rest:
                    raise line.bad("! has no condition behind it")
                continue
            if word == "{":
                if "}" not in rest:
                    raise line.bad("a { is never closed")
                end = rest.index("}")
                inner, rest = rest[:end], rest[end + 1 :]
                if not inner:
                    raise line.bad("{ } is empty")
                groups = criterion(line, inner)
            else:
                groups = self._named(line, word)
            terms.append(negation(groups) if negated else groups)
            negated = False
        if not terms or negated:
            raise line.bad("the condition ends in the middle")
        return [*found, self._all(terms)]

    @staticmethod
    def _all(terms: list[Groups]) -> Groups:
        groups = ALWAYS
        for term in terms:
            groups = both(groups, term)
        return groups
