"""The decisions of a gateway: which endpoint gets a request, and what is retried, rejected or migrated.

`puffindeck.interface` defines the settings, events and actions. `Balancer` composes an object for each part
of a decision and dispatches the events to these objects. The package does no I/O and reads no clock, and its
random numbers are seeded.

A connection's key is hashed onto a ring of virtual nodes. The connection goes to the first endpoint clockwise
whose load from this gateway is below the bound times the mean load of the ready endpoints (consistent hashing
with bounded loads). docs/design.md describes the cases where that is not enough.
"""

from puffindeck.policy.balancer import Balancer

__all__ = ["Balancer"]
