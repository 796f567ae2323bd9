"""A reference model of HAProxy's routing, written from its manual independently of the importer.

The model determines which servers may receive a new connection, given the servers that are down. It does not
determine how connections are distributed over these servers, because that differs between programs. It
supports only what the samples in haproxy/ use, and raises an exception for other conditions.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from ipaddress import ip_address, ip_network
from typing import NamedTuple

PROXIES = ("frontend", "backend", "listen")


class Connection(NamedTuple):
    """The source address and port of a connection, and the port that accepted it."""

    source: str
    source_port: int
    port: int


def split_words(line: str, environment: Mapping[str, str]) -> list[str]:
    """Split a line into words, with quotes, variables in double quotes, and comments that begin with #."""
    pieces = re.findall(r'\s+|"[^"]*"|\'[^\']*\'|#.*|[^\s"\'#]+', line)
    words: list[str] = []
    continues_word = False
    for piece in pieces:
        if piece.isspace():
            continues_word = False
            continue
        if piece.startswith("#"):
            break
        if piece[0] == '"':
            piece = re.sub(r"\$\{(\w+)\}", lambda match: environment.get(match[1], ""), piece[1:-1])
        elif piece[0] == "'":
            piece = piece[1:-1]
        if continues_word:
            words[-1] += piece
        else:
            words.append(piece)
        continues_word = True
    return words


class Reference:
    """The routing of one configuration."""

    def __init__(self, text: str, environment: Mapping[str, str]) -> None:
        self.sections: dict[tuple[str, str], list[list[str]]] = {}
        named_defaults: dict[str, list[list[str]]] = {}
        defaults: list[list[str]] = []
        current: list[list[str]] = []
        stack: list[tuple[bool, bool]] = []  # per .if: (this branch applies, any branch has applied)
        for words in (split_words(line, environment) for line in text.splitlines()):
            if not words:
                continue
            if words[0] == ".if":
                met = self.evaluate_condition(" ".join(words[1:]), environment)
                stack.append((met, met))
            elif words[0] in (".elif", ".else"):
                _, any_met = stack.pop()
                met = not any_met and (
                    words[0] == ".else" or self.evaluate_condition(" ".join(words[1:]), environment)
                )
                stack.append((met, any_met or met))
            elif words[0] == ".endif":
                stack.pop()
            elif not all(applies for applies, _ in stack):
                continue
            elif words[0] == "defaults":
                current = defaults = []
                named_defaults[words[1] if len(words) > 1 else ""] = current
            elif words[0] in PROXIES:
                inherited = named_defaults[words[3]] if words[2:3] == ["from"] else defaults
                current = [*inherited]
                self.sections[words[0], words[1]] = current
            elif words[0] in ("global", "peers"):
                current = []
            else:
                current.append(words)

    @staticmethod
    def evaluate_condition(text: str, environment: Mapping[str, str]) -> bool:
        """Evaluate terms that are joined by &&, the only operator in the samples besides `!`."""

        def evaluate_term(term: str) -> bool:
            term = term.strip()
            if term.startswith("!"):
                return not evaluate_term(term[1:])
            name, arguments = re.fullmatch(r"(\w+)\((.*)\)", term).groups()  # type: ignore[union-attr]
            if name == "streq":
                left, right = arguments.split(",")
                return bool(left.strip() == right.strip())
            if name == "defined":
                return arguments in environment
            if name == "version_atleast":
                return tuple(map(int, arguments.split("."))) <= (2, 6)
            raise NotImplementedError(term)

        return all(evaluate_term(term) for term in text.split("&&"))

    def find_frontend(self, port: int) -> list[list[str]]:
        """Return the statements of the frontend or listen section that listens on a port."""
        for (kind, _), lines in self.sections.items():
            ports = [
                int(address.rpartition(":")[2])
                for words in lines
                if words[0] == "bind"
                for address in words[1].split(",")
            ]
            if kind != "backend" and port in ports:
                return lines
        raise LookupError(port)

    def backend_name(self, connection: Connection, down: frozenset[str] = frozenset()) -> str:
        """Return the name of the backend that receives a connection."""
        lines = self.find_frontend(connection.port)
        acls: dict[str, list[list[str]]] = {}
        for words in lines:
            if words[0] == "acl":
                acls.setdefault(words[1], []).append(words[2:])
        for words in lines:
            if words[0] == "use_backend" and self.is_condition_met(words[2:], acls, connection, down):
                return words[1]
        for words in reversed(lines):
            if words[0] == "default_backend":
                return words[1]
        return next(name for (kind, name), statements in self.sections.items() if statements is lines)

    def is_condition_met(
        self,
        words: list[str],
        acls: Mapping[str, list[list[str]]],
        connection: Connection,
        down: frozenset[str],
    ) -> bool:
        """Evaluate `if` or `unless` with alternatives, each a conjunction of terms."""
        if not words:
            return True
        alternatives, is_met = [], True
        rest = list(words[1:])
        while rest:
            word = rest.pop(0)
            if word in ("or", "||"):
                alternatives.append(is_met)
                is_met = True
                continue
            is_negated = word.startswith("!")
            word = word.lstrip("!")
            if word == "{":
                end = rest.index("}")
                matches = self.matches_criterion(rest[:end], connection, down)
                rest = rest[end + 1 :]
            else:
                matches = any(self.matches_criterion(criterion, connection, down) for criterion in acls[word])
            is_met = is_met and matches != is_negated
        alternatives.append(is_met)
        return any(alternatives) == (words[0] == "if")

    def matches_criterion(self, words: list[str], connection: Connection, down: frozenset[str]) -> bool:
        """Return whether a connection matches a criterion."""
        name, *values = words
        if name == "src":
            return any(ip_address(connection.source) in ip_network(value, strict=False) for value in values)
        if name == "req.ssl_hello_type":
            return False  # clients in the tests do not use TLS
        usable_servers_match = re.fullmatch(r"nbsrv\((\w+)\)", name)
        actual = (
            len(self.usable_servers(usable_servers_match[1], down))
            if usable_servers_match
            else {"dst_port": connection.port, "src_port": connection.source_port}[name]
        )
        operators = {"lt": int.__lt__, "le": int.__le__, "gt": int.__gt__, "ge": int.__ge__, "eq": int.__eq__}
        compare = operators[values.pop(0)] if values[0] in operators else int.__eq__
        return any(compare(actual, int(value)) for value in values)

    def all_servers(self, backend: str) -> dict[str, tuple[str, dict[str, str | bool]]]:
        """Return the port and options of servers by name. Earlier `default-server` statements apply."""
        lines = next(
            statements
            for (kind, name), statements in self.sections.items()
            if kind != "frontend" and name == backend
        )
        servers: dict[str, tuple[str, dict[str, str | bool]]] = {}
        defaults: dict[str, str | bool] = {}
        for words in lines:
            if words[0] == "default-server":
                defaults = {**defaults, **self.parse_options(words[1:])}
            elif words[0] == "server":
                servers[words[1]] = words[2].rpartition(":")[2], {**defaults, **self.parse_options(words[3:])}
        return servers

    @staticmethod
    def parse_options(words: list[str]) -> dict[str, str | bool]:
        """Parse the options of a `server` or `default-server` statement."""
        options: dict[str, str | bool] = {}
        rest = list(words)
        while rest:
            word = rest.pop(0)
            if word in ("weight", "maxconn"):
                options[word] = rest.pop(0)
            elif word in ("backup", "disabled"):
                options[word] = True
            elif word in ("no-backup", "enabled"):
                options[{"no-backup": "backup", "enabled": "disabled"}[word]] = False
        return options

    def usable_servers(self, backend: str, down: frozenset[str]) -> dict[str, dict[str, str | bool]]:
        """Return the options of usable servers by port, including backups."""
        return {
            port: options
            for port, options in self.all_servers(backend).values()
            if port not in down and not options.get("disabled") and options.get("weight") != "0"
        }

    def eligible_servers(self, connection: Connection, down: frozenset[str] = frozenset()) -> set[str]:
        """Return the ports of the servers that may receive this connection."""
        backend = self.backend_name(connection, down)
        usable = self.usable_servers(backend, down)
        primaries = {port for port, options in usable.items() if not options.get("backup")}
        if primaries:
            return primaries
        backups = [port for port, options in usable.items() if options.get("backup")]
        lines = next(
            statements
            for (kind, name), statements in self.sections.items()
            if kind != "frontend" and name == backend
        )
        return set(backups) if ["option", "allbackups"] in lines else set(backups[:1])
