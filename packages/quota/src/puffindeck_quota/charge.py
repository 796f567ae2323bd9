"""The results of admission: the charge of an admitted request, or a rejection."""

from __future__ import annotations

from dataclasses import dataclass, field

from puffindeck_quota.tenant_limit import TenantLimit


@dataclass(slots=True, eq=False)
class ChargedPermits:
    """Permits of one limit that a request has consumed: one permit in each of the windows."""

    tenant_limit: TenantLimit
    windows: set[int]


@dataclass(frozen=True, slots=True, eq=False)
class Overdraft:
    """Records that a request was admitted without a permit of a limit that is not strict."""

    tenant_limit: TenantLimit
    window: int


@dataclass(slots=True, eq=False)
class Charge:
    """The permits that a request or connection has consumed. Times are in milliseconds since 1970."""

    tenant: str
    requested_ms: float
    permits: list[ChargedPermits] = field(default_factory=list)
    overdrafts: list[Overdraft] = field(default_factory=list)
    established_ms: float = 0.0  # when the connection was established
    closed: bool = False

    def refund(self) -> None:
        """Return all permits to their ledgers, except those of windows that have been discarded."""
        for permits in self.permits:
            permits.tenant_limit.refund(permits.windows)
        for overdraft in self.overdrafts:
            ledger = overdraft.tenant_limit.ledgers.get(overdraft.window)
            if ledger is not None:
                ledger.overdrawn -= 1


@dataclass(slots=True)
class Rejection:
    """No permit is available; permits are expected to be available after `retry_after_ms` milliseconds."""

    limit: str  # the name of the exhausted limit
    retry_after_ms: float
