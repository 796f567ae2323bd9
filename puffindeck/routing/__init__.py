"""Routes that map requests to pools of endpoints, with backup tiers, limits and draining. No I/O, no clock.

- `table` finds the route of a request, by conditions on the request (`conditions`).
- `pools` has the configuration of pools. The endpoints of a pool form tiers. Endpoints of a later tier are
  backups, which serve only while the earlier tiers have no healthy endpoint.
- `tier` has the Balancer of one tier, which places, retries and rejects the requests of that tier.
- `pool_state` selects the tier that serves a request.
- `pool_router` combines these behind the interface of a Balancer.

docs/design/routing.md compares this design with its alternatives.
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
