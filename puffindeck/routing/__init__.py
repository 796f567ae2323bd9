"""Routes to pools of servers, with tiers of backups, limits and drains. No I/O, no clock.

A request's route is found in a table (`table`), by conditions on what its front knows of it (`conditions`).
Its pool has tiers: the endpoints that serve, then those that stand in for them (`pools`, `pool_state`). On
each tier one Balancer places, retries and rejects by its own rules (`tier`); `pool_router` is what the engine
talks to. docs/design/routing.md has the ways weighed.
"""

from puffindeck.routing.conditions import Condition, ConditionError, RequestView
from puffindeck.routing.pool_router import PoolRouter
from puffindeck.routing.pools import Pool, Routing
from puffindeck.routing.table import Route, RouteTable

__all__ = [
    "Condition",
    "ConditionError",
    "Pool",
    "PoolRouter",
    "RequestView",
    "Route",
    "RouteTable",
    "Routing",
]
