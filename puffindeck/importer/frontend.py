"""A frontend on its way into listeners and routes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from puffindeck.importer.account import Account
from puffindeck.importer.acl import ALWAYS, Acls, Groups, Unsupported
from puffindeck.importer.keywords import fate
from puffindeck.importer.sections import Section, endpoint
from puffindeck.importer.statement import Line


@dataclass(slots=True)
class Way:
    """To a backend, where the groups hold."""

    backend: str
    groups: Groups
    at: Line


@dataclass(slots=True)
class Frontend:
    """What a frontend or listen section says of where connections come from and go to."""

    section: Section
    account: Account
    binds: list[str] = field(default_factory=list)
    ways: list[Way] = field(default_factory=list)
    default: tuple[str, Line] | None = None
    acls: Acls = field(default_factory=Acls)

    def take(self, line: Line) -> bool:
        """Read a statement, if it is one that concerns the way in."""
        word, *rest = line.words
        if word in ("bind", "acl", "use_backend", "default_backend") and not rest:
            raise line.bad(f"{word}: something is missing")
        if word == "bind":
            self._bind(line, rest)
        elif word == "acl":
            why = self.acls.add(line, rest)
            self.account.judge(
                line.at, *(("refused", f"{why}; what uses it is named") if why else ("carried",))
            )
        elif word == "use_backend":
            self._use(line, rest)
        elif word == "default_backend":
            self.default = rest[0], line
            self.account.judge(line.at, "carried")
        else:
            return False
        return True

    def _bind(self, line: Line, rest: list[str]) -> None:
        for where in rest[0].split(","):
            at = endpoint(line, where) if "-" not in where.rpartition(":")[2] else None
            if at is None:
                self.account.judge(line.at, "traffic", f"{where}: one address and port to listen on each")
            else:
                self.binds.append(at)
                self.account.judge(line.at, "carried")
        options = rest[1:]
        while options:
            word = options.pop(0)
            found = fate("bind", word)
            if found is None:
                self.account.judge(line.at, "traffic", f"{word}: not an option that is known here")
            else:
                self.account.judge(line.at, found.verdict, f"{word}: {found.says}")
                del options[: found.words]

    def _use(self, line: Line, rest: list[str]) -> None:
        backend, *condition = rest
        if "%[" in backend:
            self.account.judge(line.at, "traffic", "a backend whose name is made of the request's data")
            return
        try:
            groups = self.acls.condition(line, condition)
        except Unsupported as error:
            self.account.judge(line.at, "traffic", f"{error}: what would go there goes on to the next route")
            return
        self.ways.append(Way(backend, groups, line))
        self.account.judge(line.at, "carried" if groups else "harmless", "" if groups else "it never holds")

    def routes(self, listeners: list[str], alone: bool, known: set[str]) -> list[dict[str, Any]]:
        """Its routes in their order, for connections that come to its listeners."""
        own: Groups = ALWAYS if alone else [[{"on": "listener", "is": listeners}]]
        made = []
        ways = [*self.ways, *([Way(self.default[0], ALWAYS, self.default[1])] if self.default else [])]
        if not self.default and self.section.kind == "listen" and self.section.name in known:
            ways.append(Way(self.section.name, ALWAYS, Line(self.section.at, [])))
        for way in ways:
            if way.backend not in known:
                raise way.at.bad(f"there is no backend {way.backend}")
            for group in way.groups:
                for condition in group:
                    pool = condition.get("pool")
                    if pool and pool not in known:
                        raise way.at.bad(f"there is no backend {pool}")
            when = [[*a, *b] for a in own for b in way.groups]
            if way.groups:
                made.append({"pool": way.backend, **({"when": when} if when != [[]] else {})})
        return made
