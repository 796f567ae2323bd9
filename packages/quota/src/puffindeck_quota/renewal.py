"""Renews the permits of open connections, and revokes connections whose permits cannot be renewed."""

from __future__ import annotations

from puffindeck_quota.actions import Revoke
from puffindeck_quota.admission import Admission
from puffindeck_quota.allocation import QuotaAllocator
from puffindeck_quota.charge import Charge, ChargedPermits
from puffindeck_quota.limits import QuotaSettings, Unit
from puffindeck_quota.outbox import Outbox
from puffindeck_quota.tenant_limit import MS_PER_SECOND, TenantLimit
from puffindeck_quota.tenant_limits import TenantLimits

# A connection without a permit for the next window is revoked this long before the current window ends, in addition
# to the permitted clock skew.
MIGRATION_MS = 300.0


class PermitRenewal:
    """Charges open connections for the next window or the next second."""

    def __init__(
        self,
        settings: QuotaSettings,
        admission: Admission,
        allocator: QuotaAllocator,
        tenant_limits: TenantLimits,
        outbox: Outbox,
    ) -> None:
        self._settings = settings
        self._admission = admission
        self._allocator = allocator
        self._tenant_limits = tenant_limits
        self._outbox = outbox
        self._seconds_renewed_ms = float("-inf")

    def renew(self, now_ms: float) -> None:
        """Renew the permits that are due, and revoke connections for which no permit is available."""
        for charge in list(self._admission.established):
            if not self._renew_permits(charge, now_ms):
                self._revoke(charge)
        if now_ms - self._seconds_renewed_ms < MS_PER_SECOND:
            return
        self._seconds_renewed_ms = now_ms
        for charge in list(self._admission.established):
            if not self._renew_seconds(charge, now_ms):
                self._revoke(charge)

    def _renew_permits(self, charge: Charge, now_ms: float) -> bool:
        return all(
            self._renew_window_permit(permits, now_ms)
            for permits in charge.permits
            if permits.tenant_limit.limit.unit == Unit.CONCURRENT_CONNECTIONS
        )

    def _renew_seconds(self, charge: Charge, now_ms: float) -> bool:
        return all(
            self._renew_second_permit(charge, permits.tenant_limit, now_ms)
            for permits in charge.permits
            if permits.tenant_limit.limit.unit == Unit.CONNECTION_SECONDS
        )

    def _renew_window_permit(self, permits: ChargedPermits, now_ms: float) -> bool:
        """Charge the next window before it begins. Return False if the connection has to be migrated now.

        A gateway that was held up over the end of a window has no permits for the current one, which it charges late.
        """
        limit = permits.tenant_limit.limit
        current = limit.window_at(now_ms)
        permits.windows.difference_update([window for window in permits.windows if window < current - 1])
        if not self._charge_window(permits, current):
            return False
        window_left_ms = (current + 1) * limit.window_ms - now_ms
        if window_left_ms > self._settings.epoch_ms / 2 or self._charge_window(permits, current + 1):
            return True
        return window_left_ms > self._settings.skew_ms + MIGRATION_MS

    def _charge_window(self, permits: ChargedPermits, window: int) -> bool:
        """Charge a connection for a window, unless it is charged already. Return False if no permit is available."""
        if window in permits.windows:
            return True
        self._tenant_limits.active.add(permits.tenant_limit)
        if not self._allocator.ledger(permits.tenant_limit, window).consume():
            return False
        permits.windows.add(window)
        return True

    def _renew_second_permit(self, charge: Charge, tenant_limit: TenantLimit, now_ms: float) -> bool:
        """Charge one more second, once the connection is a second old. Return False if no permit is available."""
        if now_ms - charge.established_ms < MS_PER_SECOND:
            return True
        tenant_limit.record_demand(now_ms, self._settings.demand_time_constant_ms)
        self._tenant_limits.active.add(tenant_limit)
        window = tenant_limit.limit.window_at(now_ms + MS_PER_SECOND)
        ledger = self._allocator.ledger(tenant_limit, window)
        return ledger.consume() or self._admission.overdraw(charge, tenant_limit, window)

    def _revoke(self, charge: Charge) -> None:
        self._outbox.add(Revoke(charge))
        self._admission.on_ended(charge)
