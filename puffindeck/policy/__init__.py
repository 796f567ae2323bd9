"""All decisions of one gateway: where a request goes, whether it is retried, what is rejected or migrated.

`puffindeck/interface.py` has the settings, events and actions. `Balancer` composes one object for each part
of a decision and dispatches the events to them. There is no I/O and no clock; randomness is seeded.

A connection's key is hashed onto a ring of virtual nodes. The connection goes to the first endpoint clockwise
whose load from this gateway is under the bound times the mean of the ready endpoints, else it spills onward
(consistent hashing with bounded loads). docs/design.md describes what happens where that does not suffice.
"""

from puffindeck.policy.balancer import Balancer

__all__ = ["Balancer"]
