"""Accounts for one gateway's permits of one limit in one window: allocated, received, transferred and consumed.

The totals sent over the network only increase, so duplicated and reordered messages have no effect. A transferred
permit is deducted at the donor before the receiver can consume it, and the permits of a process that ends are lost,
so no permit is consumed twice.
"""

from __future__ import annotations

from typing import NamedTuple


class ProcessId(NamedTuple):
    """Identifies one process of a member. A restarted member has a new process incarnation."""

    name: str
    process_incarnation: int


class PermitLedger:
    """One gateway's permits of a tenant's limit in a window. All values are numbers of permits."""

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
        self.available = 0  # permits that can still be consumed or transferred
        self.consumed = 0
        self.overdrawn = 0  # requests admitted without a permit
        self.rejected = 0  # requests rejected because no permit was available
        self.received: dict[ProcessId, int] = {}  # cumulative totals by donor
        self.transferred: dict[ProcessId, int] = {}  # cumulative totals by receiver

    def allocate(self, count: int) -> None:
        """Add the permits that the epoch's allocation assigns to this gateway. Later calls have no effect."""
        if self.allocation_known:
            return
        self.allocation_known = True
        self.allocated = count
        self.available += count

    def reduce_allocation(self, count: int) -> None:
        """Apply a lowered limit immediately. A raised limit takes effect in the next window, so it is ignored here.

        `available` may become negative; no more permits are consumed or transferred while it is.
        """
        if self.allocation_known and count < self.allocated:
            self.available -= self.allocated - count
            self.allocated = count

    def consume(self) -> bool:
        """Consume one permit. Return False if none is available."""
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
        """Transfer up to `count` permits. Return the new cumulative total transferred to this receiver."""
        granted = max(0, min(count, self.available))
        total = self.transferred.get(receiver, 0) + granted
        if granted:
            self.transferred[receiver] = total
            self.available -= granted
        return total

    def receive(self, donor: ProcessId, total: int) -> int:
        """Record the cumulative total that a donor has transferred to this gateway.

        Return how many of these permits had not been received before.
        """
        new = max(0, total - self.received.get(donor, 0))
        if new:
            self.received[donor] = total
            self.available += new
        return new
