"""What an admitted request has been charged, and the answer to one that was not admitted."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffindeck_quota.tenant_limit import TenantLimit


@dataclass(slots=True, eq=False)
class ChargedPermits:
    """The permits of one limit that a request holds, one for each of the windows."""

    tenant_limit: TenantLimit
    windows: set[int]


@dataclass(frozen=True, slots=True, eq=False)
class Overdraft:
    """A request admitted beyond the permits of a limit that is not strict."""

    tenant_limit: TenantLimit
    window: int


@dataclass(slots=True, eq=False)
class Charge:
    """What a request or a connection has been charged. Times in milliseconds."""

    tenant: str
    requested_ms: float
    permits: list[ChargedPermits] = field(default_factory=list)
    overdrafts: list[Overdraft] = field(default_factory=list)
    established_ms: float = 0.0  # when the connection was established
    closed: bool = False

    def refund(self) -> None:
        """Return all permits to their ledgers, as far as the windows are still recorded."""
        for permits in self.permits:
            permits.tenant_limit.refund(permits.windows)
        for overdraft in self.overdrafts:
            ledger = overdraft.tenant_limit.ledgers.get(overdraft.window)
            if ledger is not None:
                ledger.overdrawn -= 1


@dataclass(slots=True)
class Rejection:
    """No permit is available now; some are expected after `retry_after_ms` milliseconds."""

    limit: str  # the name of the limit
    retry_after_ms: float
