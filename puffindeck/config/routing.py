"""The routing table of an operator's file: listeners, routes and pools."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from puffindeck.config.checks import parse_address
from puffindeck.config.errors import ConfigError, InvalidValueError

if TYPE_CHECKING:
    from puffindeck.routing import Condition, Pool, Route, Routing

Tiers = tuple[tuple[str, ...], ...]
ConditionGroups = tuple[tuple["Condition", ...], ...]  # match if all conditions of one group hold


class ConditionTable(msgspec.Struct, forbid_unknown_fields=True):
    """A condition of a route, tenant or service, as it is read."""

    on: str
    values: list[str | int] = msgspec.field(name="is", default_factory=list)
    how: str = ""
    negated: bool = msgspec.field(name="not", default=False)
    ignore_case: bool = False
    pool: str = ""


class RouteEntry(msgspec.Struct, forbid_unknown_fields=True):
    """A route as it is read: requests go to the pool if all conditions of at least one group hold."""

    pool: str
    when: list[list[ConditionTable]] = msgspec.field(default_factory=list)


class PoolTable(msgspec.Struct, forbid_unknown_fields=True):
    """A pool and its backup tiers, as they are read."""

    members: list[str]
    backups: list[list[str]] = msgspec.field(default_factory=list)
    limit: int = 0
    server_limits: dict[str, int] = msgspec.field(default_factory=dict)
    drained: list[str] = msgspec.field(default_factory=list)
    attempts: int = 0
    bound: float = 0.0
    warm_ms: float = -1.0


class RoutingTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table `routing` as it is read. Routing is off if the file has no such table."""

    pools: dict[str, PoolTable]
    default: str = ""
    routes: list[RouteEntry] = msgspec.field(default_factory=list)
    listeners: dict[str, str] = msgspec.field(default_factory=dict)


def parse_condition(table: ConditionTable, at: str) -> Condition:
    """Check a condition. Raises ConfigError, which names the condition's key, `at`."""
    from puffindeck.routing import Condition, ConditionError

    try:
        return Condition(
            table.on,
            tuple(str(value) for value in table.values),
            table.how,
            table.negated,
            table.ignore_case,
            table.pool,
        )
    except ConditionError as error:
        raise ConfigError(f"{at}: {error}") from None


def parse_condition_groups(tables: list[list[ConditionTable]], at: str) -> ConditionGroups:
    """Check groups of conditions. Raises ConfigError, which names the invalid condition."""
    return tuple(
        tuple(parse_condition(table, f"{at}[{i}][{j}]") for j, table in enumerate(group))
        for i, group in enumerate(tables)
    )


def check_no_empty_group(tables: list[list[ConditionTable]], at: str) -> None:
    """Check that each group has a condition. Raises ConfigError, which names the key."""
    if any(not group for group in tables):
        raise ConfigError(f"{at} has an empty group")


def _parse_tiers(table: PoolTable, at: str) -> Tiers:
    if not table.members:
        raise InvalidValueError(f"{at}.members", "must name at least one server")
    tiers = (tuple(table.members), *(tuple(tier) for tier in table.backups))
    if not all(tiers):
        raise ConfigError(f"{at}.backups has a tier without servers")
    seen: set[str] = set()
    for server in (server for tier in tiers for server in tier):
        if server in seen:
            raise ConfigError(f"{at}: {server} is listed twice")
        seen.add(server)
    return tiers


def _check_pool_limits(table: PoolTable, tiers: Tiers, at: str) -> None:
    if table.limit < 0 or table.attempts < 0 or any(limit < 1 for limit in table.server_limits.values()):
        raise InvalidValueError(f"{at}: limits and attempts", "must be above 0, or omitted")
    servers = {server for tier in tiers for server in tier}
    if unknown := set(table.server_limits) - servers:
        raise ConfigError(f"{at}.server_limits: {min(unknown)} is not in any tier of the pool")
    if table.bound and not 1 < table.bound < 1000:
        raise InvalidValueError(f"{at}.bound", "must be over 1 and under 1000, or omitted")


def _parse_pool(name: str, table: PoolTable) -> Pool:
    from puffindeck.routing import Pool

    at = f"routing.pools.{name}"
    tiers = _parse_tiers(table, at)
    _check_pool_limits(table, tiers, at)
    return Pool(
        name,
        tiers,
        table.limit,
        dict(table.server_limits),
        tuple(table.drained),
        table.attempts,
        table.bound,
        table.warm_ms,
    )


def _parse_routes(entries: list[RouteEntry]) -> tuple[Route, ...]:
    from puffindeck.routing import Route

    routes = tuple(
        Route(entry.pool, parse_condition_groups(entry.when, f"routing.routes[{i}].when"))
        for i, entry in enumerate(entries)
    )
    for i, entry in enumerate(entries):
        check_no_empty_group(entry.when, f"routing.routes[{i}].when")
    return routes


def parse_routing(table: RoutingTable) -> Routing:
    """Check the routing table. Raises ConfigError, which names the invalid key."""
    from puffindeck.routing import RouteTable, Routing  # loaded only if the file has a routing table

    pools = tuple(_parse_pool(name, pool) for name, pool in table.pools.items())
    if not pools:
        raise InvalidValueError("routing.pools", "must name at least one pool")
    route_table = RouteTable(_parse_routes(table.routes), table.default)
    if unknown := route_table.pools() - table.pools.keys():
        raise ConfigError(f"routing: there is no pool {min(unknown)}")
    listeners = {
        name: parse_address(text, f"routing.listeners.{name}") for name, text in table.listeners.items()
    }
    return Routing(route_table, pools, listeners)
