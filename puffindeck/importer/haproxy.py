"""HAProxy's configuration as an operator's file, and an account of what became of each statement."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from puffindeck.importer.account import Account
from puffindeck.importer.backend import Backend, Server
from puffindeck.importer.frontend import Frontend
from puffindeck.importer.sections import Section, judged, sections, whole
from puffindeck.importer.statefile import states
from puffindeck.importer.statement import ImportError_, Line

__all__ = ["ImportError_", "convert", "convert_files"]
SERVERS_ONLY = {
    "server",
    "server-template",
    "default-server",
    "balance",
    "hash-type",
    "hash-balance-factor",
    "retries",
    "retry-on",
    "fullconn",
    "timeout",
}
MAIN = "listen"  # the name of the listener that `listen` is, among several


class _Proxy:
    """A section that is imported, as a way in, as servers, or as both."""

    def __init__(self, section: Section, account: Account, states_: Any) -> None:
        self.section, self.account = section, account
        self.front = Frontend(section, account) if section.kind in ("frontend", "listen") else None
        self.back = Backend(section, account, states_) if section.kind in ("backend", "listen") else None
        account.judge(section.at, "carried")
        for line in section.all():
            self._take(line)

    def _take(self, line: Line) -> None:
        word, *rest = line.words
        if self.back is not None and self.back.take(line):
            return
        if self.front is not None and self.front.take(line):
            return
        if word == "mode":
            self._mode(line, rest)
        elif word == "default_backend" and self.section.kind == "backend":
            self.account.judge(line.at, "harmless", "for frontends")
        elif (
            self.back is None
            and word in SERVERS_ONLY
            and not (word == "timeout" and rest[:1] not in (["connect"], ["server"]))
        ):
            self.account.judge(line.at, "harmless", "for backends" if line in self.section.lines else "")
        elif word == "bind" and self.front is None:
            self.account.judge(line.at, "refused", "a backend does not listen")
        else:
            judged(self.account, "proxy", line)

    def _mode(self, line: Line, rest: list[str]) -> None:
        if rest[:1] == ["tcp"]:
            self.account.judge(line.at, "carried")
        elif rest[:1] == ["http"]:
            self.account.judge(line.at, "traffic", "no HTTP here: connections are passed on as they are")
        else:
            self.account.judge(line.at, "traffic", f"no mode {' '.join(rest[:1])} here")


def convert(
    file: str,
    text: str,
    wanted: str = "",
    environment: Mapping[str, str] | None = None,
) -> tuple[dict[str, Any], Account]:
    """As `convert_files`, for one file."""
    return convert_files([(file, text)], wanted, environment)


def convert_files(
    files: list[tuple[str, str]],
    wanted: str = "",
    environment: Mapping[str, str] | None = None,
    state: tuple[str, str] | None = None,
) -> tuple[dict[str, Any], Account]:
    """An operator's file as a table, and the account of every statement.

    `files` are names and texts in their order, read as one; `wanted` is the only backend to import, where not
    all are; `environment` has the variables that files name in weak quotes; `state` is a file of servers'
    states. ImportError_ names file and line of what can't be read.
    """
    account = Account()
    found = sections(files, account, environment or {})
    known_states = states(*state) if state else {}
    chosen, left_out = _chosen(found, wanted, files[0][0])
    for section in left_out:
        account.judge(section.at, "traffic", "not among what is imported")
        for line in section.lines:
            account.judge(line.at, "refused", f"{section.kind} {section.name} is not imported")
    proxies = [_Proxy(section, account, known_states) for section in chosen]
    sockets = 0
    for section in found:
        if section.kind == "global":
            account.judge(section.at, "carried")
            sockets = _global(section, account) or sockets
        elif section.kind == "defaults":
            account.judge(section.at, "carried")
            for line in section.lines:
                if not account.entries[line.at].verdict:
                    account.judge(line.at, "harmless", "no section that is imported has these defaults")
    for at, one in known_states.items():
        raise ImportError_(f"{one.at}: there is no server {at[0]}/{at[1]} in the configuration")
    fronts = [p.front for p in proxies if p.front is not None and (p.front.binds or p.front.default)]
    backs = [p.back for p in proxies if p.back is not None and p.back.servers]
    for proxy in proxies:
        if proxy.section.kind == "backend" and proxy.back is not None and not proxy.back.servers:
            account.judge(proxy.section.at, "traffic", "no server of it can be carried over")
    if not backs:
        last = next((s for s in reversed(found) if s.kind in ("backend", "listen")), None)
        raise ImportError_(
            f"{last.at if last else files[0][0]}: no backend has a server that can be carried over"
        )
    for back in backs:
        if not (back.hashed and back.consistent):
            account.judge(
                back.section.at, "changed", "it is not placed by a consistent hash; here it will be"
            )
    return _table(fronts, backs, sockets, account), account


def _chosen(found: list[Section], wanted: str, file: str) -> tuple[list[Section], list[Section]]:
    """The sections that are imported, and those that are not."""
    proxies = [s for s in found if s.kind in ("frontend", "backend", "listen")]
    if not wanted:
        return proxies, []
    backend = next((s for s in proxies if s.name == wanted and s.kind != "frontend"), None)
    if backend is None:
        raise ImportError_(f"{file}: there is no backend {wanted}")
    chosen = [
        s
        for s in proxies
        if s is backend
        or (s.kind == "frontend" and any(line.words == ["default_backend", wanted] for line in s.all()))
    ]
    return chosen, [s for s in proxies if s not in chosen]


def _global(section: Section, account: Account) -> int:
    sockets = 0
    for line in section.lines:
        if line.words[0] == "maxconn" and len(line.words) > 1:
            sockets = 2 * whole(line, line.words[1], 1, 1 << 20) + 64
            account.judge(
                line.at, "changed", f"limits.sockets = {sockets}: two descriptors a connection, and 64"
            )
        else:
            judged(account, "global", line)
    return sockets


def _table(fronts: list[Frontend], backs: list[Backend], sockets: int, account: Account) -> dict[str, Any]:
    main = backs[0]
    if fronts and fronts[0].default and any(b.name == fronts[0].default[0] for b in backs):
        main = next(b for b in backs if b.name == fronts[0].default[0])
    binds = [at for front in fronts for at in front.binds]
    repeated = Counter(server.name for back in backs for server in back.servers)

    def uid(back: Backend, server: Server) -> str:
        return server.name if repeated[server.name] == 1 else f"{back.name}/{server.name}"

    connects = [back.times["connect"] for back in backs if "connect" in back.times]
    deadlines = [back.times["server"] for back in backs if "server" in back.times]
    deadline = max(deadlines, default=3000.0)
    for back in backs:
        for kind, most in (("connect", max(connects, default=0.0)), ("server", deadline)):
            if kind in back.times and back.times[kind] != most:
                account.judge(
                    back.section.at,
                    "changed",
                    f"timeout {kind} is the same for all: the longest, {most:g} ms",
                )
    settings: dict[str, Any] = {
        "peersTotal": 1,
        "locality": 0,
        "zones": ["site"],
        "kinds": ["server"],
        "membershipMode": "automatic",
        "weights": "nominal",
        "classes": [
            {"name": main.name, "aimMs": min(500.0, deadline), "hardLimitMs": deadline, "repeat": "pure"}
        ],
        "limits": {
            "maxAttempts": max(b.attempts for b in backs),
            "connectTimeoutMs": max(connects, default=250.0),
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfterMs": 1500,
        },
        "rules": {
            "drainGraceMs": 500,
            "answerSlackMs": 20,
            "coldFrom": 0.31,
            "warmAfterMs": max(0.0, main.warm_ms) or 9000,
            "overloadFactor": 3,
            "fallMs": 1000,
        },
    }
    table: dict[str, Any] = {
        "name": main.name,
        "listen": binds[0] if binds else "127.0.0.1:5000",
        **({"limits": {"sockets": sockets}} if sockets else {}),
        "settings": settings,
        "known": {
            "rev": 1,
            "all": True,
            "targets": [server.target(uid(back, server)) for back in backs for server in back.servers],
        },
    }
    routes, listeners = _routes(fronts, {back.name for back in backs})
    if len(backs) == 1 and backs[0].plain() and len(binds) <= 1 and not any(front.ways for front in fronts):
        if main.bound:
            settings["bound"] = main.bound
        return table
    pools: dict[str, Any] = {}
    for back in backs:
        first, *rest = back.tiers(lambda server, back=back: uid(back, server))  # type: ignore[misc]
        limits = {uid(back, server): server.limit for server in back.servers if server.limit}
        pools[back.name] = {
            "members": first,
            **({"backups": rest} if rest else {}),
            **({"server_limits": limits} if limits else {}),
            "attempts": back.attempts,
            **({"bound": back.bound} if back.bound else {}),
            **({"warm_ms": back.warm_ms} if back.warm_ms >= 0 else {}),
        }
    table["routing"] = {
        **({"default": main.name} if not fronts else {}),
        "pools": pools,
        **({"listeners": listeners} if listeners else {}),
        **({"routes": routes} if routes else {}),
    }
    return table


def _routes(fronts: list[Frontend], known: set[str]) -> tuple[list[dict[str, Any]], dict[str, str]]:
    """All routes, and the listeners beside the first."""
    names: dict[int, list[str]] = {}
    listeners: dict[str, str] = {}
    first = True
    for i, front in enumerate(fronts):
        for j, at in enumerate(front.binds):
            name = MAIN if first else front.section.name if j == 0 else f"{front.section.name}-{j + 1}"
            if not first:
                listeners[name] = at
            first = False
            names.setdefault(i, []).append(name)
    alone = len(fronts) == 1
    return [
        route
        for i, front in enumerate(fronts)
        if alone or i in names
        for route in front.routes(names.get(i, []), alone, known)
    ], listeners
