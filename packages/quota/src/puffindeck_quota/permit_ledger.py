"""Permits of one limit in one window, as one gateway has them: allocated, received, transferred, consumed.

The totals that cross the network only grow, so copies and disorder of messages change nothing. A permit that was
transferred is gone here before it can be consumed there, and a permit lost with a process is consumed by nobody.
"""

from __future__ import annotations

from typing import NamedTuple


class ProcessId(NamedTuple):
    """One process of a member. A member that restarts is another process."""

    name: str
    process_incarnation: int


class PermitLedger:
    """One tenant's limit in one window. All figures are numbers of permits."""

    __slots__ = (
        "allocated",
        "allocation_known",
        "available",
        "consumed",
        "overdrawn",
        "received",
        "rejected",
        "transferred",
    )

    def __init__(self) -> None:
        self.allocated = 0
        self.allocation_known = False
        self.available = 0  # what may still be consumed, or transferred to others
        self.consumed = 0
        self.overdrawn = 0  # requests admitted without a permit
        self.rejected = 0  # requests rejected for want of a permit
        self.received: dict[ProcessId, int] = {}  # the total by donor
        self.transferred: dict[ProcessId, int] = {}  # the total by receiver

    def allocate(self, count: int) -> None:
        """Add the permits that the epoch's allocation gives this gateway. Only the first call counts."""
        if self.allocation_known:
            return
        self.allocation_known = True
        self.allocated = count
        self.available += count

    def reduce_allocation(self, count: int) -> None:
        """Apply a lower limit at once; a higher one holds from the next window on.

        `available` may fall below 0: nothing more is consumed or transferred then.
        """
        if self.allocation_known and count < self.allocated:
            self.available -= self.allocated - count
            self.allocated = count

    def consume(self) -> bool:
        """Consume one permit; False if none is available."""
        if self.available <= 0:
            return False
        self.available -= 1
        self.consumed += 1
        return True

    def refund(self) -> None:
        """Make one consumed permit available again."""
        self.available += 1
        self.consumed -= 1

    def transfer(self, receiver: ProcessId, count: int) -> int:
        """Transfer up to `count` permits; the new total that this receiver was given."""
        granted = max(0, min(count, self.available))
        total = self.transferred.get(receiver, 0) + granted
        if granted:
            self.transferred[receiver] = total
            self.available -= granted
        return total

    def receive(self, donor: ProcessId, total: int) -> int:
        """Record the total that a donor has transferred to this gateway; how many of these permits are new."""
        new = max(0, total - self.received.get(donor, 0))
        if new:
            self.received[donor] = total
            self.available += new
        return new
