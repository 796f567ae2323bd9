"""What HAProxy would do with a connection, read from its manual and not from the importer.

It covers what the samples under haproxy/ use, and stops at what it does not know. It says which servers
may get a new connection, given which are down; how connections spread over those is each program's own.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from ipaddress import ip_address, ip_network
from typing import NamedTuple

PROXIES = ("frontend", "backend", "listen")


class Where(NamedTuple):
    """A connection: where it comes from, and the port it came to."""

    source: str
    source_port: int
    port: int


def split(line: str, environment: Mapping[str, str]) -> list[str]:
    """The words of a line: quotes group, variables stand in double ones, # begins a comment."""
    pieces = re.findall(r'\s+|"[^"]*"|\'[^\']*\'|#.*|[^\s"\'#]+', line)
    words: list[str] = []
    open_word = False
    for piece in pieces:
        if piece.isspace():
            open_word = False
            continue
        if piece.startswith("#"):
            break
        if piece[0] == '"':
            piece = re.sub(r"\$\{(\w+)\}", lambda found: environment.get(found[1], ""), piece[1:-1])
        elif piece[0] == "'":
            piece = piece[1:-1]
        if open_word:
            words[-1] += piece
        else:
            words.append(piece)
        open_word = True
    return words


class Reference:
    """A configuration, read once."""

    def __init__(self, text: str, environment: Mapping[str, str]) -> None:
        self.sections: dict[tuple[str, str], list[list[str]]] = {}
        named: dict[str, list[list[str]]] = {}
        defaults: list[list[str]] = []
        current: list[list[str]] = []
        stack: list[tuple[bool, bool]] = []  # of each .if: does this branch count, has one counted
        for words in (split(line, environment) for line in text.splitlines()):
            if not words:
                continue
            if words[0] == ".if":
                met = self.condition(" ".join(words[1:]), environment)
                stack.append((met, met))
            elif words[0] in (".elif", ".else"):
                _, before = stack.pop()
                met = not before and (words[0] == ".else" or self.condition(" ".join(words[1:]), environment))
                stack.append((met, before or met))
            elif words[0] == ".endif":
                stack.pop()
            elif not all(counts for counts, _ in stack):
                continue
            elif words[0] == "defaults":
                current = defaults = []
                named[words[1] if len(words) > 1 else ""] = current
            elif words[0] in PROXIES:
                base = named[words[3]] if words[2:3] == ["from"] else defaults
                current = [*base]
                self.sections[words[0], words[1]] = current
            elif words[0] in ("global", "peers"):
                current = []
            else:
                current.append(words)

    @staticmethod
    def condition(text: str, environment: Mapping[str, str]) -> bool:
        """Terms joined by && only, as far as the samples go."""

        def term(one: str) -> bool:
            one = one.strip()
            if one.startswith("!"):
                return not term(one[1:])
            name, given = re.fullmatch(r"(\w+)\((.*)\)", one).groups()  # type: ignore[union-attr]
            if name == "streq":
                left, right = given.split(",")
                return bool(left.strip() == right.strip())
            if name == "defined":
                return given in environment
            if name == "version_atleast":
                return tuple(map(int, given.split("."))) <= (2, 6)
            raise NotImplementedError(one)

        return all(term(one) for one in text.split("&&"))

    def entry(self, port: int) -> list[list[str]]:
        """The frontend or listen section that has a port."""
        for (kind, _), lines in self.sections.items():
            ports = [
                int(at.rpartition(":")[2])
                for words in lines
                if words[0] == "bind"
                for at in words[1].split(",")
            ]
            if kind != "backend" and port in ports:
                return lines
        raise LookupError(port)

    def backend(self, where: Where, down: frozenset[str] = frozenset()) -> str:
        """The name of the backend that a connection goes to."""
        lines = self.entry(where.port)
        acls: dict[str, list[list[str]]] = {}
        for words in lines:
            if words[0] == "acl":
                acls.setdefault(words[1], []).append(words[2:])
        for words in lines:
            if words[0] == "use_backend" and self.met(words[2:], acls, where, down):
                return words[1]
        for words in reversed(lines):
            if words[0] == "default_backend":
                return words[1]
        return next(name for (kind, name), own in self.sections.items() if own is lines)

    def met(
        self, words: list[str], acls: Mapping[str, list[list[str]]], where: Where, down: frozenset[str]
    ) -> bool:
        """if or unless, with ORs of ANDs."""
        if not words:
            return True
        terms, group = [], True
        rest = list(words[1:])
        while rest:
            word = rest.pop(0)
            if word in ("or", "||"):
                terms.append(group)
                group = True
                continue
            turned = word.startswith("!")
            word = word.lstrip("!")
            if word == "{":
                end = rest.index("}")
                held = self.asked(rest[:end], where, down)
                rest = rest[end + 1 :]
            else:
                held = any(self.asked(one, where, down) for one in acls[word])
            group = group and held != turned
        terms.append(group)
        return any(terms) == (words[0] == "if")

    def asked(self, words: list[str], where: Where, down: frozenset[str]) -> bool:
        """One criterion."""
        name, *values = words
        if name == "src":
            return any(ip_address(where.source) in ip_network(value, strict=False) for value in values)
        if name == "req.ssl_hello_type":
            return False  # the samples' clients speak no TLS
        counted = re.fullmatch(r"nbsrv\((\w+)\)", name)
        figure = (
            len(self.up(counted[1], down))
            if counted
            else {"dst_port": where.port, "src_port": where.source_port}[name]
        )
        operators = {"lt": int.__lt__, "le": int.__le__, "gt": int.__gt__, "ge": int.__ge__, "eq": int.__eq__}
        compare = operators[values.pop(0)] if values[0] in operators else int.__eq__
        return any(compare(figure, int(value)) for value in values)

    def all_servers(self, backend: str) -> dict[str, tuple[str, dict[str, str | bool]]]:
        """Servers by name: the port each has, and its options with those of default-server before it."""
        lines = next(
            own for (kind, name), own in self.sections.items() if kind != "frontend" and name == backend
        )
        found: dict[str, tuple[str, dict[str, str | bool]]] = {}
        usual: dict[str, str | bool] = {}
        for words in lines:
            if words[0] == "default-server":
                usual = {**usual, **self.options(words[1:])}
            elif words[0] == "server":
                found[words[1]] = words[2].rpartition(":")[2], {**usual, **self.options(words[3:])}
        return found

    @staticmethod
    def options(words: list[str]) -> dict[str, str | bool]:
        read: dict[str, str | bool] = {}
        rest = list(words)
        while rest:
            word = rest.pop(0)
            if word in ("weight", "maxconn"):
                read[word] = rest.pop(0)
            elif word in ("backup", "disabled"):
                read[word] = True
            elif word in ("no-backup", "enabled"):
                read[{"no-backup": "backup", "enabled": "disabled"}[word]] = False
        return read

    def up(self, backend: str, down: frozenset[str]) -> dict[str, dict[str, str | bool]]:
        """Servers that are usable, backups too, by the port each has."""
        return {
            port: options
            for port, options in self.all_servers(backend).values()
            if port not in down and not options.get("disabled") and options.get("weight") != "0"
        }

    def servers(self, where: Where, down: frozenset[str] = frozenset()) -> set[str]:
        """The ports of the servers that may get this connection."""
        backend = self.backend(where, down)
        usable = self.up(backend, down)
        primaries = {port for port, options in usable.items() if not options.get("backup")}
        if primaries:
            return primaries
        backups = [port for port, options in usable.items() if options.get("backup")]
        lines = next(
            own for (kind, name), own in self.sections.items() if kind != "frontend" and name == backend
        )
        return set(backups) if ["option", "allbackups"] in lines else set(backups[:1])
