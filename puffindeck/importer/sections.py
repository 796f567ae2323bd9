"""Sections of HAProxy's configuration and their statements, with what the manual says of figures in them."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address

from puffindeck.importer import lexer
from puffindeck.importer.account import Account
from puffindeck.importer.branches import Branches
from puffindeck.importer.keywords import fate
from puffindeck.importer.statement import ImportError_, Line

SECTIONS = ("global", "defaults", "frontend", "backend", "listen")
OTHERS = {
    "userlist": "no HTTP here",
    "peers": "nodes share nothing here",
    "resolvers": "no look-up of names here",
    "cache": "no HTTP here",
    "mailers": "its alerts",
    "program": "how its process runs",
    "ring": "its logs",
    "http-errors": "no HTTP here",
    "fcgi-app": "no FastCGI here",
    "log-forward": "its logs",
}
UNITS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60000.0, "h": 3_600_000.0, "d": 86_400_000.0, "": 1.0}


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
    return [
        Line(
            line.at,
            line.texts,
            next((f"{word.raw}: {word.unset[0]}" for word in line.words if word.unset), ""),
        )
        for line in read
        if line.words
    ]


def sections(files: list[tuple[str, str]], account: Account, environment: Mapping[str, str]) -> list[Section]:
    """The sections of files, read one after another, each with the defaults that hold for it."""
    found: list[Section] = []
    defaults: dict[str, Section] = {}
    last: Section | None = None
    current: Section | None = None
    other, branches = "", Branches(environment)
    for line in (line for file, text in files for line in statements(file, text, environment)):
        word, *rest = line.words
        account.open(line.at, line.words)
        if word.startswith("."):
            account.judge(line.at, "carried", branches.take(line))
            continue
        if not branches.taken:
            account.judge(line.at, "harmless", "in a part whose condition is not met")
            continue
        if line.unset:
            raise line.bad(f"{line.unset} is not set in the environment")
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
    branches.end(files[-1][0])
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
