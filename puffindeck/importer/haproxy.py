"""HAProxy's configuration format, as far as it says what this program needs to know."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address
from typing import Any

from puffindeck.importer import lexer
from puffindeck.importer.account import Account
from puffindeck.importer.keywords import fate

SECTIONS = ("global", "defaults", "frontend", "backend", "listen")
OTHERS = {
    "userlist": "no HTTP here", "peers": "nodes share nothing here", "resolvers": "no look-up of names here",
    "cache": "no HTTP here", "mailers": "its alerts", "program": "how its process runs", "ring": "its logs",
    "http-errors": "no HTTP here", "fcgi-app": "no FastCGI here", "log-forward": "its logs",
}
UNITS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60000.0, "h": 3_600_000.0, "d": 86_400_000.0, "": 1.0}
MODES = ("tcp", "http")
HASHED = ("source", "uri", "url_param", "hdr", "hash", "rdp-cookie")  # kinds of `balance` that place by a key
# how many words must follow
LEAST = {"server": 2, "timeout": 2, "retries": 1, "hash-type": 1, "hash-balance-factor": 1, "balance": 1,
         "bind": 1}


class ImportError_(Exception):
    """The input can't be read; the text names file and line."""


@dataclass(slots=True)
class Line:
    """A statement and where it stands."""

    at: str
    words: list[str]

    def bad(self, why: str) -> ImportError_:
        return ImportError_(f"{self.at}: {why}")


@dataclass(slots=True)
class Section:
    """A section with what it takes from its defaults."""

    kind: str
    name: str
    at: str
    lines: list[Line] = field(default_factory=list)
    base: Section | None = None

    def all(self) -> list[Line]:
        """Its lines after those of its defaults, so that the last word on a thing is its own."""
        return (self.base.all() if self.base else []) + self.lines


def statements(file: str, text: str, environment: Mapping[str, str]) -> list[Line]:
    """The lines that say something, as words."""
    try:
        read = lexer.lines(file, text, environment)
    except lexer.SyntaxFault as error:
        raise ImportError_(str(error)) from None
    for line in read:
        for word in line.words:
            if word.unset:
                raise ImportError_(f"{line.at}: {word.raw}: {word.unset[0]} is not set in the environment")
    return [Line(line.at, line.texts) for line in read if line.words]


def sections(file: str, text: str, account: Account, environment: Mapping[str, str]) -> list[Section]:
    """The sections in their order, each with the defaults that hold for it."""
    found: list[Section] = []
    defaults: dict[str, Section] = {}
    last: Section | None = None
    current: Section | None = None
    other = ""
    for line in statements(file, text, environment):
        word, *rest = line.words
        account.open(line.at, line.words)
        if word.startswith("."):
            raise line.bad(f"{word}: conditions are not read; write the file out without them")
        if word in SECTIONS:
            name = rest[0] if rest else ""
            if not name and word in ("frontend", "backend", "listen"):
                raise line.bad(f"{word} has no name")
            if any(s.kind == word and s.name == name for s in found) and word != "defaults" and name:
                raise line.bad(f"{word} {name} stands twice")
            base = last if word in ("frontend", "backend", "listen") else None
            if "from" in rest[1:]:
                wanted = rest[rest.index("from") + 1 : rest.index("from") + 2]
                if not wanted or wanted[0] not in defaults:
                    raise line.bad("from names no defaults that stand before it")
                base = defaults[wanted[0]]
            current, other = Section(word, name, line.at, base=base), ""
            found.append(current)
            if word == "defaults":
                last = current
                if name:
                    defaults[name] = current
        elif word in OTHERS:
            account.judge(line.at, "refused", OTHERS[word])
            current, other = None, OTHERS[word]
        elif current is not None:
            current.lines.append(line)
        elif other:
            account.judge(line.at, "refused", other)
        else:
            raise line.bad(f"{word!r} stands in no section that is known")
    return found


def judged(account: Account, place: str, line: Line) -> None:
    """The verdict on a statement that the table of keywords knows. With `no` before it, it is off there."""
    words = line.words
    off = words[0] == "no" and len(words) > 1
    if off or (words[0] == "default" and len(words) > 1):
        words = words[1:]
    found = fate(place, *words)
    if found is None:
        account.judge(line.at, "traffic", f"{words[0]}: not a keyword that is known here")
    elif off and found.verdict in ("refused", "traffic"):
        account.judge(line.at, "harmless", "off there, and not here at all")
    else:
        account.judge(line.at, found.verdict, found.says)


def milliseconds(line: Line, text: str) -> float:
    """A time as HAProxy writes it: a whole number, and a unit or none for milliseconds."""
    match = re.fullmatch(r"(\d+)(us|ms|s|m|h|d|)", text)
    if not match:
        raise line.bad(f"{text!r} is no time")
    return int(match[1]) * UNITS[match[2]]


def whole(line: Line, text: str, low: int, high: int) -> int:
    if not text.isdecimal() or not low <= int(text) <= high:
        raise line.bad(f"{text!r} is no whole number from {low} to {high}")
    return int(text)


def endpoint(line: Line, text: str) -> str | None:
    """ADDRESS:PORT as an operator's file has it, or None for one that it can't have."""
    host, _, port = re.sub(r"^(ipv4|ipv6|inet)@", "", text).rpartition(":")
    host = host.removeprefix("[").removesuffix("]") or "0.0.0.0"
    host = "0.0.0.0" if host == "*" else host
    try:
        wide = ip_address(host).version == 6
    except ValueError:
        return None
    if not port.isdecimal() or not 0 < int(port) <= 65535:
        raise line.bad(f"{text!r} has no port from 1 to 65535")
    return f"[{host}]:{port}" if wide else f"{host}:{port}"


class Conversion:
    """One backend on its way into an operator's file."""

    def __init__(self, account: Account) -> None:
        self.account = account
        self.targets: list[dict[str, Any]] = []
        self.server_words: list[str] = []
        self.hashed = self.consistent = False
        self.bound = 0.0
        self.times: dict[str, float] = {}
        self.attempts = 4  # HAProxy's own default: three retries
        self.listen = ""
        self.sockets = 0
        self.readers: dict[str, Callable[[Line, list[str]], None]] = {
            "bind": self._bind, "balance": self._balance, "hash-type": self._hash_type,
            "hash-balance-factor": self._hash_balance_factor, "timeout": self._timeout,
            "retries": self._retries, "default-server": self._default_server, "server": self._server,
        }

    def take(self, line: Line) -> None:
        """One statement of a section that counts for the backend."""
        word, *rest = line.words
        if len(rest) < LEAST.get(word, 0):
            raise line.bad(f"{word}: something is missing")
        if word == "timeout" and rest[0] not in ("connect", "server"):
            milliseconds(line, rest[1])
            judged(self.account, "proxy", line)
        elif word in self.readers:
            self.readers[word](line, rest)
        elif word == "mode":
            self._mode(line, rest)
        elif word == "default_backend":
            self.carried(line)
        else:
            judged(self.account, "proxy", line)

    def carried(self, line: Line, says: str = "") -> None:
        self.account.judge(line.at, "carried", says)

    def changed(self, line: Line, says: str) -> None:
        self.account.judge(line.at, "changed", says)

    def _mode(self, line: Line, rest: list[str]) -> None:
        if rest[:1] == ["tcp"]:
            self.carried(line)
        elif rest[:1] == ["http"]:
            self.account.judge(line.at, "traffic", "no HTTP here: connections are passed on as they are")
        else:
            self.account.judge(line.at, "traffic", f"no mode {' '.join(rest[:1])} here")

    def _bind(self, line: Line, rest: list[str]) -> None:
        at = endpoint(line, rest[0])
        if at is None or self.listen:
            self.account.judge(line.at, "traffic", "one address and port to listen on")
            return
        self.listen = at
        self.carried(line)
        if len(rest) > 1:
            found = fate("bind", rest[1])
            assert found is not None  # the table has a word for whatever stands there
            self.account.judge(line.at, found.verdict, f"{rest[1]}: {found.says}")

    def _balance(self, line: Line, rest: list[str]) -> None:
        self.hashed = rest[0].split("(")[0] in HASHED
        if self.hashed:
            self.changed(line, f"balance {rest[0]}: the key is the one that the client's first line has")
        else:
            self.changed(line, f"balance {rest[0]}: connections are placed by their keys' hash")

    def _hash_type(self, line: Line, rest: list[str]) -> None:
        self.consistent = rest[0] == "consistent"
        if not self.consistent:
            self.changed(line, f"hash-type {rest[0]}: it is consistent here")
        elif len(rest) > 1:
            self.changed(line, f"hash function {rest[1]}: the one of the design")
        else:
            self.carried(line)

    def _hash_balance_factor(self, line: Line, rest: list[str]) -> None:
        factor = whole(line, rest[0], 0, 65535)
        if 0 < factor <= 100:
            raise line.bad("hash-balance-factor must be 0 or over 100")
        self.bound = factor / 100
        if factor:
            self.carried(line, f"bound = {self.bound:g}")
        else:
            self.changed(line, "hash-balance-factor 0: load is always bounded here")

    def _timeout(self, line: Line, rest: list[str]) -> None:
        self.times[rest[0]] = milliseconds(line, rest[1])
        if rest[0] == "connect":
            self.carried(line, "settings.limits.connectTimeoutMs")
        else:
            self.changed(line, "the class's hardLimitMs: until a connection stands, not while it does")

    def _retries(self, line: Line, rest: list[str]) -> None:
        self.attempts = whole(line, rest[0], 0, 100) + 1
        self.carried(line, f"settings.limits.maxAttempts = {self.attempts}")

    def _default_server(self, line: Line, rest: list[str]) -> None:
        self.server_words = rest
        self.carried(line)

    def _server(self, line: Line, rest: list[str]) -> None:
        name, at = rest[0], endpoint(line, rest[1])
        if any(target["uid"] == name for target in self.targets):
            raise line.bad(f"server {name} stands twice")
        if at is None:
            self.account.judge(line.at, "traffic", f"{rest[1]} is no address and port: left out")
            return
        target = {"uid": name, "endpoint": at, "state": "SERVING", "az": "site", "model": "server",
                  "capacity_hint": 1.0}
        self.carried(line)
        words, backup = [*self.server_words, *rest[2:]], False
        while words:
            word = words.pop(0)
            if word == "weight":
                weight = whole(line, words.pop(0) if words else "", 0, 256)
                target["capacity_hint"] = float(weight or 1)
                target["state"] = "SERVING" if weight else "DRAINING"
            elif word == "disabled":
                target["state"] = "DRAINING"
                self.changed(line, "disabled: it drains until staff or the list say otherwise")
            else:
                found = fate("server", word)
                backup = backup or word == "backup"
                if found is None:
                    self.account.judge(line.at, "traffic", f"{word}: not an option that is known here")
                    while words and words[0] not in ("weight", "disabled") and not fate("server", words[0]):
                        words.pop(0)
                else:
                    self.account.judge(line.at, found.verdict, f"{word}: {found.says}")
                    del words[: found.words]
        if not backup:
            self.targets.append(target)


def convert(
    file: str, text: str, wanted: str = "", environment: Mapping[str, str] | None = None
) -> tuple[dict[str, Any], Account]:
    """An operator's file as a table, and the account of every statement.

    `environment` has the variables that the file names in weak quotes; one that is not there is an error.
    ImportError_ names file and line of what can't be read.
    """
    account = Account()
    found = sections(file, text, account, environment or {})
    backends = [s for s in found if s.kind in ("backend", "listen")]
    if wanted:
        backends = [s for s in backends if s.name == wanted]
    if not backends:
        raise ImportError_(f"{file}: there is no backend {wanted}".rstrip())
    if len(backends) > 1:
        raise ImportError_(f"{file}: several backends, choose one: {', '.join(s.name for s in backends)}")
    backend = backends[0]
    made = Conversion(account)
    fronts = [s for s in found if s.kind == "frontend" and any(
        line.words == ["default_backend", backend.name] for line in s.all())]
    for section in found:
        if section.kind == "global":
            account.judge(section.at, "carried")
            _global(section, made)
        elif section.kind != "defaults" and section not in (backend, *fronts):
            account.judge(section.at, "traffic", "one backend is imported at a time, with its frontends")
            for line in section.lines:
                account.judge(line.at, "refused", f"{section.kind} {section.name} is not imported")
    for front in fronts:
        account.judge(front.at, "carried")
        for line in front.lines:
            made.take(line)
    account.judge(backend.at, "carried")
    for line in backend.all():
        made.take(line)
    for section in found:
        if section.kind == "defaults":
            account.judge(section.at, "carried")
            for line in section.lines:
                if not account.entries[line.at].verdict:
                    account.judge(line.at, "harmless", "no section that is imported has these defaults")
    if not made.targets:
        raise ImportError_(f"{backend.at}: {backend.name} has no server that can be carried over")
    if not (made.hashed and made.consistent):
        account.judge(backend.at, "changed", "it is not placed by a consistent hash; here it will be")
    return _table(backend.name, made), account


def _global(section: Section, made: Conversion) -> None:
    for line in section.lines:
        if line.words[0] == "maxconn" and len(line.words) > 1:
            made.sockets = 2 * whole(line, line.words[1], 1, 1 << 20) + 64
            made.changed(line, f"limits.sockets = {made.sockets}: two descriptors a connection, and 64")
        else:
            judged(made.account, "global", line)


def _table(name: str, made: Conversion) -> dict[str, Any]:
    connect = made.times.get("connect", 250.0)
    deadline = made.times.get("server", 3000.0)
    settings: dict[str, Any] = {
        "peersTotal": 1, "locality": 0, "zones": ["site"], "kinds": ["server"],
        "membershipMode": "automatic", "weights": "nominal",
        "classes": [{"name": name, "aimMs": min(500.0, deadline), "hardLimitMs": deadline, "repeat": "pure"}],
        "limits": {"maxAttempts": made.attempts, "connectTimeoutMs": connect, "cancelling": True,
                   "retryAfter": True, "maxRetryAfterMs": 1500},
        "rules": {"drainGraceMs": 500, "answerSlackMs": 20, "coldFrom": 0.31, "warmAfterMs": 9000,
                  "overloadFactor": 3, "fallMs": 1000},
    }
    if made.bound:
        settings["bound"] = made.bound
    return {
        "name": name, "listen": made.listen or "127.0.0.1:5000",
        **({"limits": {"sockets": made.sockets}} if made.sockets else {}),
        "settings": settings,
        "known": {"rev": 1, "all": True, "targets": made.targets},
    }
