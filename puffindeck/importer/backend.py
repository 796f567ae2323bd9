"""A backend on its way into a pool: its servers, how they stand in for each other, and their limits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from puffindeck.importer.account import Account
from puffindeck.importer.keywords import fate
from puffindeck.importer.sections import Section, endpoint, judged, milliseconds, whole
from puffindeck.importer.statefile import ServerState
from puffindeck.importer.statement import Line

HASHED = ("source", "uri", "url_param", "hdr", "hash", "rdp-cookie")  # kinds of `balance` that place by a key
# how many words must follow
LEAST = {
    "server": 2,
    "server-template": 3,
    "timeout": 2,
    "retries": 1,
    "hash-type": 1,
    "hash-balance-factor": 1,
    "balance": 1,
    "fullconn": 1,
}
FIGURES = {"weight": 256, "maxconn": 1 << 31}  # a server's options that are whole numbers, and their greatest


@dataclass(slots=True)
class Server:
    """A server as it arrives."""

    name: str
    endpoint: str
    weight: int = 1
    backup: bool = False
    drains: bool = False
    limit: int = 0

    def target(self, uid: str) -> dict[str, Any]:
        """Its entry in `known`."""
        return {
            "uid": uid,
            "endpoint": self.endpoint,
            "state": "DRAINING" if self.drains or not self.weight else "SERVING",
            "az": "site",
            "model": "server",
            "capacity_hint": float(self.weight or 1),
        }


@dataclass(slots=True)
class _Options:
    """A server's options while they are read; `default-server` gives those it does not have."""

    weight: int = 1
    backup: bool = False
    disabled: bool = False
    limit: int = 0
    slowstart_ms: float = 0.0
    named: list[str] = field(default_factory=list)


class Backend:
    """What a backend or listen section says of its servers."""

    def __init__(
        self, section: Section, account: Account, states: dict[tuple[str, str], ServerState]
    ) -> None:
        self.section, self.account, self._states = section, account, states
        self.name = section.name
        self.servers: list[Server] = []
        self.hashed = self.consistent = self.all_backups = False
        self.bound = 0.0
        self.times: dict[str, float] = {}
        self.attempts = 4  # HAProxy's own default: three retries
        self.warm_ms = -1.0
        self._default = _Options()
        self._names: set[str] = set()
        self.readers: dict[str, Callable[[Line, list[str]], None]] = {
            "balance": self._balance,
            "hash-type": self._hash_type,
            "hash-balance-factor": self._hash_balance_factor,
            "timeout": self._timeout,
            "retries": self._retries,
            "retry-on": self._retry_on,
            "default-server": self._default_server,
            "server": self._server,
            "server-template": self._template,
        }

    def take(self, line: Line) -> bool:
        """Read a statement, if it is one that concerns servers."""
        word, *rest = line.words
        if len(rest) < LEAST.get(word, 0):
            raise line.bad(f"{word}: something is missing")
        if word in ("no", "default") and rest[:2] == ["option", "allbackups"]:
            self.all_backups = False
            self._carried(line)
        elif word == "option" and rest[:1] == ["allbackups"]:
            self.all_backups = True
            self._carried(line, "all backups stand in together")
        elif word in self.readers and not (word == "timeout" and rest[0] not in ("connect", "server")):
            self.readers[word](line, rest)
        else:
            return False
        return True

    def tiers(self, uid: Callable[[Server], str]) -> list[list[str]]:
        """Servers by tier. Without `allbackups` one backup stands in at a time, in their order."""
        primaries = [uid(s) for s in self.servers if not s.backup]
        backups = [uid(s) for s in self.servers if s.backup]
        if not primaries:  # then the backups serve, as there
            primaries, backups = (backups, []) if self.all_backups else (backups[:1], backups[1:])
        rest = [backups] if self.all_backups else [[one] for one in backups]
        return [tier for tier in (primaries, *rest) if tier]

    def plain(self) -> bool:
        """Can it be a list of servers without a pool?"""
        return not any(s.backup or s.limit for s in self.servers)

    def _carried(self, line: Line, says: str = "") -> None:
        self.account.judge(line.at, "carried", says)

    def _changed(self, line: Line, says: str) -> None:
        self.account.judge(line.at, "changed", says)

    def _balance(self, line: Line, rest: list[str]) -> None:
        self.hashed = rest[0].split("(")[0] in HASHED
        if self.hashed:
            self._changed(line, f"balance {rest[0]}: the key is the one that the client's first line has")
        else:
            self._changed(line, f"balance {rest[0]}: connections are placed by their keys' hash")

    def _hash_type(self, line: Line, rest: list[str]) -> None:
        self.consistent = rest[0] == "consistent"
        if not self.consistent:
            self._changed(line, f"hash-type {rest[0]}: it is consistent here")
        elif len(rest) > 1:
            self._changed(line, f"hash function {rest[1]}: the one of the design")
        else:
            self._carried(line)

    def _hash_balance_factor(self, line: Line, rest: list[str]) -> None:
        factor = whole(line, rest[0], 0, 65535)
        if 0 < factor <= 100:
            raise line.bad("hash-balance-factor must be 0 or over 100")
        self.bound = factor / 100
        if factor:
            self._carried(line, f"bound = {self.bound:g}")
        else:
            self._changed(line, "hash-balance-factor 0: load is always bounded here")

    def _timeout(self, line: Line, rest: list[str]) -> None:
        self.times[rest[0]] = milliseconds(line, rest[1])
        if rest[0] == "connect":
            self._carried(line, "settings.limits.connectTimeoutMs")
        else:
            self._changed(line, "the class's hardLimitMs: until a connection stands, not while it does")

    def _retries(self, line: Line, rest: list[str]) -> None:
        self.attempts = whole(line, rest[0], 0, 100) + 1
        self._carried(line, f"{self.attempts} attempts")

    def _retry_on(self, line: Line, rest: list[str]) -> None:
        if rest == ["none"]:
            self.attempts = 1
            self._carried(line, "one attempt")
        elif rest == ["conn-failure"]:
            self._changed(
                line, "a host that answers with an error, or not at all, is followed by another too"
            )
        else:
            judged(self.account, "proxy", line)

    # Servers

    def _default_server(self, line: Line, rest: list[str]) -> None:
        self._default = self._options(line, rest, self._default)
        self._carried(line)

    def _server(self, line: Line, rest: list[str]) -> None:
        name, at = rest[0], endpoint(line, rest[1])
        if name in self._names:
            raise line.bad(f"server {name} stands twice")
        self._names.add(name)
        if at is None:
            self.account.judge(line.at, "traffic", f"{rest[1]} is no address and port: left out")
            return
        self._carried(line)
        self._add(line, name, at, self._options(line, rest[2:], self._default))

    def _template(self, line: Line, rest: list[str]) -> None:
        prefix, numbers, where, *options = rest
        low, dash, high = numbers.partition("-")
        first = whole(line, low, 1, 65535) if dash else 1
        last = whole(line, high if dash else low, first, 65535)
        at = endpoint(line, where)
        if at is None:
            self.account.judge(
                line.at, "traffic", f"{where} is no address and port: names are not looked up here"
            )
            return
        read = self._options(line, options, self._default)
        for number in range(first, last + 1):
            if f"{prefix}{number}" in self._names:
                raise line.bad(f"server {prefix}{number} stands twice")
            self._names.add(f"{prefix}{number}")
            self._add(line, f"{prefix}{number}", at, read)
        self._changed(line, f"{last + 1 - first} servers at one address, as the template has it")

    def _add(self, line: Line, name: str, at: str, read: _Options) -> None:
        server = Server(name, at, read.weight, read.backup, read.disabled, read.limit)
        if read.slowstart_ms:
            self.warm_ms = max(self.warm_ms, read.slowstart_ms)
        state = self._states.pop((self.name, name), None)
        if state is not None:
            server.weight, drains = state.weight, state.drains
            if drains and not server.drains:
                self._changed(line, "drains, as the state file has it")
            server.drains = server.drains or drains
        self.servers.append(server)

    def _options(self, line: Line, words: list[str], default: _Options) -> _Options:
        read = _Options(default.weight, default.backup, default.disabled, default.limit, default.slowstart_ms)
        words = list(words)
        while words:
            word = words.pop(0)
            if word in FIGURES:
                figure = whole(line, words.pop(0) if words else "", 0, FIGURES[word])
                if word == "weight":
                    read.weight = figure
                else:
                    read.limit = figure
                    self._changed(line, "maxconn: what finds no place is told when to come again, not queued")
            elif word in ("backup", "no-backup"):
                read.backup = word == "backup"
            elif word in ("disabled", "enabled"):
                read.disabled = word == "disabled"
                if read.disabled:
                    self._changed(line, "disabled: it drains until staff or the list say otherwise")
            elif word == "slowstart":
                read.slowstart_ms = milliseconds(line, words.pop(0) if words else "")
                self._changed(
                    line,
                    f"slowstart: warm_ms = {read.slowstart_ms:g} for all of the pool, from rules.coldFrom on",
                )
            else:
                self._other(line, word, words)
        return read

    def _other(self, line: Line, word: str, words: list[str]) -> None:
        """An option that nothing is done with."""
        found = fate("server", word)
        if found is None:
            self.account.judge(line.at, "traffic", f"{word}: not an option that is known here")
            known = (*FIGURES, "backup", "disabled", "slowstart")
            while words and words[0] not in known and not fate("server", words[0]):
                words.pop(0)
        else:
            self.account.judge(line.at, found.verdict, f"{word}: {found.says}")
            del words[: found.words]
