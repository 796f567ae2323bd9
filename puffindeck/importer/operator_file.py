"""Builds the content of an operator's file from imported frontends and backends."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

from puffindeck.importer.backend import Backend
from puffindeck.importer.frontend import Frontend
from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.server import Server

MAIN_LISTENER = "listen"  # name of the listener of the key `listen`, in conditions of routes
DEFAULT_LISTEN = "127.0.0.1:5000"  # for a configuration without a frontend
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_DEADLINE_MS = 3000.0
MAX_LATENCY_OBJECTIVE_MS = 500.0
DEFAULT_SLOW_START_MS = 9000
SLOW_START_INITIAL_FRACTION = 0.31
SLOW_START_LOAD_MULTIPLE = 3
SLOW_START_WINDOW_MS = 1000
DRAIN_GRACE_MS = 500
ANSWER_SLACK_MS = 20
MAX_RETRY_AFTER_MS = 1500


class _Timeouts(NamedTuple):
    """The longest timeouts of all backends."""

    connect_ms: float
    deadline_ms: float


class _Routing(NamedTuple):
    """The routes and additional listeners of all frontends."""

    routes: list[dict[str, Any]]
    listeners: dict[str, str]  # HOST:PORT by name, without the main listener


class _Listener(NamedTuple):
    """A listener of a frontend."""

    name: str
    address: str  # HOST:PORT
    is_main: bool  # whether it becomes the key `listen`


class _Uids:
    """Uids of servers: the server's name, prefixed with the backend's name if it is in several backends."""

    def __init__(self, backends: list[Backend]) -> None:
        self._counts = Counter(server.name for backend in backends for server in backend.servers)

    def uid(self, backend: Backend, server: Server) -> str:
        """Return the uid of a server."""
        return server.name if self._counts[server.name] == 1 else f"{backend.name}/{server.name}"


def _select_main_backend(frontends: list[Frontend], backends: list[Backend]) -> Backend:
    """Return the default backend of the first frontend, or else the first backend."""
    default_rule = frontends[0].default_rule if frontends else None
    for backend in backends:
        if default_rule is not None and backend.name == default_rule.backend:
            return backend
    return backends[0]


def _merge_timeouts(backends: list[Backend], report: ImportReport) -> _Timeouts:
    """Return the longest timeouts, which apply to all backends. Backends with other values are reported."""

    def longest(kind: str, default_ms: float) -> float:
        """Return the longest timeout of this kind in ms; `default_ms` if no backend has one."""
        times = [backend.timeouts_ms[kind] for backend in backends if kind in backend.timeouts_ms]
        return max(times, default=default_ms)

    timeouts = _Timeouts(
        longest("connect", DEFAULT_CONNECT_TIMEOUT_MS), longest("server", DEFAULT_DEADLINE_MS)
    )
    for backend in backends:
        for kind, longest_ms in (("connect", timeouts.connect_ms), ("server", timeouts.deadline_ms)):
            if backend.timeouts_ms.get(kind, longest_ms) != longest_ms:
                note = f"timeout {kind} is the same for all backends: the longest, {longest_ms:g} ms"
                report.record(backend.section.location, Disposition.CHANGED, note)
    return timeouts


def _build_settings(main: Backend, backends: list[Backend], timeouts: _Timeouts) -> dict[str, Any]:
    request_class = {
        "name": main.name,
        "aimMs": min(MAX_LATENCY_OBJECTIVE_MS, timeouts.deadline_ms),
        "hardLimitMs": timeouts.deadline_ms,
        "repeat": "pure",
    }
    return {
        "peersTotal": 1,
        "locality": 0,
        "zones": ["site"],
        "kinds": ["server"],
        "membershipMode": "automatic",
        "weights": "nominal",
        "classes": [request_class],
        "limits": {
            "maxAttempts": max(backend.attempts for backend in backends),
            "connectTimeoutMs": timeouts.connect_ms,
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfterMs": MAX_RETRY_AFTER_MS,
        },
        "rules": {
            "drainGraceMs": DRAIN_GRACE_MS,
            "answerSlackMs": ANSWER_SLACK_MS,
            "coldFrom": SLOW_START_INITIAL_FRACTION,
            "warmAfterMs": max(0.0, main.slow_start_ms) or DEFAULT_SLOW_START_MS,
            "overloadFactor": SLOW_START_LOAD_MULTIPLE,
            "fallMs": SLOW_START_WINDOW_MS,
        },
    }


def _build_endpoint_list(backends: list[Backend], uids: _Uids) -> dict[str, Any]:
    targets = [
        server.to_target(uids.uid(backend, server)) for backend in backends for server in backend.servers
    ]
    return {"rev": 1, "all": True, "targets": targets}


def _name_listeners(frontends: list[Frontend]) -> list[list[_Listener]]:
    """Return the listeners of each frontend. The very first listener is the main listener."""
    all_listeners: list[list[_Listener]] = []
    has_main = False
    for frontend in frontends:
        listeners = []
        for number, address in enumerate(frontend.binds, 1):
            section_name = frontend.section.name
            additional_name = section_name if number == 1 else f"{section_name}-{number}"
            name = additional_name if has_main else MAIN_LISTENER
            listeners.append(_Listener(name, address, is_main=not has_main))
            has_main = True
        all_listeners.append(listeners)
    return all_listeners


def _build_routing(frontends: list[Frontend], backend_names: set[str]) -> _Routing:
    is_only = len(frontends) == 1
    addresses: dict[str, str] = {}
    routes: list[dict[str, Any]] = []
    for frontend, listeners in zip(frontends, _name_listeners(frontends), strict=True):
        addresses.update((listener.name, listener.address) for listener in listeners if not listener.is_main)
        if is_only or listeners:
            routes += frontend.routes([listener.name for listener in listeners], is_only, backend_names)
    return _Routing(routes, addresses)


def _build_pool(backend: Backend, uids: _Uids) -> dict[str, Any]:
    members, *backups = backend.tiers(lambda server: uids.uid(backend, server))
    limits = {uids.uid(backend, server): server.maxconn for server in backend.servers if server.maxconn}
    pool: dict[str, Any] = {"members": members}
    if backups:
        pool["backups"] = backups
    if limits:
        pool["server_limits"] = limits
    pool["attempts"] = backend.attempts
    if backend.load_bound:
        pool["bound"] = backend.load_bound
    if backend.slow_start_ms >= 0:
        pool["warm_ms"] = backend.slow_start_ms
    return pool


def _needs_routing(frontends: list[Frontend], backends: list[Backend]) -> bool:
    """Return whether the file needs a routing table, because a list of servers is not sufficient."""
    listeners = sum(len(frontend.binds) for frontend in frontends)
    has_rules = any(frontend.rules for frontend in frontends)
    return len(backends) > 1 or backends[0].needs_pool() or listeners > 1 or has_rules


def _build_routing_table(
    frontends: list[Frontend], backends: list[Backend], main: Backend, routing: _Routing, uids: _Uids
) -> dict[str, Any]:
    table: dict[str, Any] = {}
    if not frontends:
        table["default"] = main.name
    table["pools"] = {backend.name: _build_pool(backend, uids) for backend in backends}
    if routing.listeners:
        table["listeners"] = routing.listeners
    if routing.routes:
        table["routes"] = routing.routes
    return table


def build_operator_file(
    frontends: list[Frontend], backends: list[Backend], descriptor_limit: int, report: ImportReport
) -> dict[str, Any]:
    """Return the content of the operator's file; a `descriptor_limit` of 0 selects the default.

    Raises HaproxyImportError for a route to an unknown backend.
    """
    main = _select_main_backend(frontends, backends)
    binds = [address for frontend in frontends for address in frontend.binds]
    uids = _Uids(backends)
    settings = _build_settings(main, backends, _merge_timeouts(backends, report))
    table: dict[str, Any] = {"name": main.name, "listen": binds[0] if binds else DEFAULT_LISTEN}
    if descriptor_limit:
        table["limits"] = {"sockets": descriptor_limit}
    table["settings"] = settings
    table["known"] = _build_endpoint_list(backends, uids)
    routing = _build_routing(frontends, {backend.name for backend in backends})
    if _needs_routing(frontends, backends):
        table["routing"] = _build_routing_table(frontends, backends, main, routing, uids)
    elif main.load_bound:
        settings["bound"] = main.load_bound
    return table
