"""Decisions of one among very many small clients, which share nothing but the endpoint list.

They stand on `puffindeck.policy` and replace some of its strategies (`client_strategies`): `ring_smoothing`
evens out the endpoints' shares of the ring, as no client's own counts can, and `admission` lets endpoints in
slow start fill without a word between the clients. No I/O, no clock, seeded randomness. docs/design/rpc.md
has the ways that were weighed.
"""

from puffindeck.client_side.client_balancer import ClientBalancer
from puffindeck.client_side.smoothed_ring import SmoothedRingBalancer

__all__ = ["ClientBalancer", "SmoothedRingBalancer"]
