"""The table of routes: the first that fits names the pool."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck.routing.conditions import Condition, RequestView


@dataclass(frozen=True)
class Route:
    """To a pool, where all conditions of one of the groups hold; without groups always."""

    pool: str
    when: tuple[tuple[Condition, ...], ...] = ()

    def fits(self, view: RequestView) -> bool:
        """Whether a request takes this route."""
        return not self.when or any(all(one.holds(view) for one in group) for group in self.when)


@dataclass(frozen=True)
class RouteTable:
    """Routes in their order, and the pool of requests that none fits (empty: they are rejected)."""

    routes: tuple[Route, ...] = ()
    default: str = ""

    def choose(self, view: RequestView) -> str:
        """The name of a request's pool; empty where it has none."""
        return next((route.pool for route in self.routes if route.fits(view)), self.default)

    def pools(self) -> set[str]:
        """All pools that it names."""
        named = {route.pool for route in self.routes} | {self.default}
        conditions = (c for route in self.routes for group in route.when for c in group)
        return (named | {c.pool for c in conditions}) - {""}
