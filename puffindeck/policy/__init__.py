"""All decisions of the balancer. Its types, events and actions are in puffindeck/interface.

A connection's key is hashed onto a ring of virtual nodes; it goes to the first server clockwise whose load
from this gateway is under BOUND x the mean per ready server, else spills onward. All else is for when that
breaks (docs/design.md). Each module stands on the one before: known, cold, ring, ... attempts, balancer.
"""

from puffindeck.policy.balancer import Balancer as Balancer
