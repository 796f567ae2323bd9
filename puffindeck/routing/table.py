"""The routing table, in which the first matching route selects a request's pool."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck.routing.conditions import Condition, RequestView


@dataclass(frozen=True)
class Route:
    """A route to a pool. Matches if all conditions of at least one group hold, or if there are no groups."""

    pool: str
    when: tuple[tuple[Condition, ...], ...] = ()

    def matches(self, view: RequestView) -> bool:
        """Return whether a request matches this route."""
        return not self.when or any(all(condition.holds(view) for condition in group) for group in self.when)


@dataclass(frozen=True)
class RouteTable:
    """Routes in order of precedence, and the pool of requests that match none of them."""

    routes: tuple[Route, ...] = ()
    default: str = ""  # empty: requests that match no route are rejected

    def choose(self, view: RequestView) -> str:
        """Return the name of a request's pool; empty if it has none."""
        return next((route.pool for route in self.routes if route.matches(view)), self.default)

    def pools(self) -> set[str]:
        """Return the names of all pools in the table, including those in conditions."""
        targets = {route.pool for route in self.routes} | {self.default}
        conditions = (c for route in self.routes for group in route.when for c in group)
        return (targets | {c.pool for c in conditions}) - {""}
