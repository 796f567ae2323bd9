"""Decisions of one of many small clients, which share no state except the endpoint list.

The clients use `puffindeck.policy` and replace some of its strategies (`client_strategies`):

- `ring_smoothing` equalizes the endpoints' shares of the hash ring. A client has too few connections to
  balance them by counting.
- `admission` limits what all clients together send to endpoints in slow start, without communication.

No I/O, no clock, seeded randomness. docs/design/rpc.md compares this design with its alternatives.
"""

from puffindeck.client_side.client_balancer import ClientBalancer
from puffindeck.client_side.smoothed_ring import SmoothedRingBalancer

__all__ = ["ClientBalancer", "SmoothedRingBalancer"]
