"""Admits requests by the permits available at this gateway, without contacting other gateways."""

from __future__ import annotations

from random import Random

from puffindeck_quota.allocation import QuotaAllocator
from puffindeck_quota.charge import Charge, ChargedPermits, Overdraft, Rejection
from puffindeck_quota.limits import QuotaSettings, Unit
from puffindeck_quota.paxos import Paxos
from puffindeck_quota.peers import Peers
from puffindeck_quota.permit_ledger import PermitLedger
from puffindeck_quota.tenant_limit import TenantLimit
from puffindeck_quota.tenant_limits import TenantLimits


class Admission:
    """Charges requests, and owns the charges of open connections whose permits need renewal."""

    def __init__(
        self,
        settings: QuotaSettings,
        paxos: Paxos,
        allocator: QuotaAllocator,
        peers: Peers,
        tenant_limits: TenantLimits,
        random: Random,
    ) -> None:
        self.established: set[Charge] = set()  # open connections limited in seconds or concurrency
        self._settings = settings
        self._paxos = paxos
        self._allocator = allocator
        self._peers = peers
        self._tenant_limits = tenant_limits
        self._random = random

    def admit(self, tenant: str, now_ms: float, until_ms: float) -> Charge | Rejection:
        """Charge a request that may be established at any time until `until_ms`, or reject it.

        Near the end of a window it is unknown in which window the request will be established. It is charged in each
        possible window until `on_established` refunds the others.
        """
        charge = Charge(tenant, now_ms)
        first_ms = now_ms - self._settings.skew_ms
        last_ms = until_ms + self._settings.skew_ms
        for tenant_limit in self._tenant_limits.for_tenant(tenant):
            tenant_limit.record_demand(now_ms, self._settings.demand_time_constant_ms)
            self._tenant_limits.active.add(tenant_limit)
            permits = ChargedPermits(tenant_limit, set())
            charge.permits.append(permits)
            may_consume = not tenant_limit.limit.strict or self._peers.strict_admission_allowed
            for window in tenant_limit.limit.windows_between(first_ms, last_ms):
                ledger = tenant_limit.ledgers.get(window) or self._allocator.ledger(tenant_limit, window)
                if may_consume and ledger.consume():
                    permits.windows.add(window)
                elif not (
                    self._may_have_permits(tenant_limit, window, now_ms) and self.overdraw(charge, tenant_limit, window)
                ):
                    ledger.rejected += 1
                    self.refund(charge)
                    retry_after_ms = self._retry_after_ms(tenant_limit, window, ledger, now_ms)
                    return Rejection(tenant_limit.limit.name, retry_after_ms)
        return charge

    def _may_have_permits(self, tenant_limit: TenantLimit, window: int, now_ms: float) -> bool:
        """Return whether permits of a window may be allocated by now: it begins in the next epoch at the latest.

        A later window is not overdrawn either, so that a client's time limit does not decide how many windows are
        charged.
        """
        start_ms = window * tenant_limit.limit.window_ms
        return self._settings.epoch_at(start_ms) <= self._settings.epoch_at(now_ms) + 1

    def overdraw(self, charge: Charge, tenant_limit: TenantLimit, window: int) -> bool:
        """Admit a request, or one more second of a connection, without a permit.

        This is possible only if the limit is not strict and this gateway is partitioned from the voters. Each gateway
        may overdraw a window by the limit's amount divided by the number of voters, rounded up. Return False if that is
        used up or an overdraft is not possible.
        """
        limit = tenant_limit.limit
        if limit.strict or not self._settings.local_overdraft or not self._peers.is_partitioned():
            return False
        ledger = tenant_limit.ledgers[window]
        voter_count = len(self._paxos.voters)
        if ledger.overdrawn >= -(-limit.amount // voter_count):
            return False
        ledger.overdrawn += 1
        charge.overdrafts.append(Overdraft(tenant_limit, window))
        return True

    def on_established(self, charge: Charge, now_ms: float) -> None:
        """Refund the permits of windows in which the connection cannot have been established."""
        skew_ms = self._settings.skew_ms
        charge.established_ms = now_ms
        for permits in charge.permits:
            tenant_limit = permits.tenant_limit
            possible = tenant_limit.limit.windows_between(charge.requested_ms - skew_ms, now_ms + skew_ms)
            for window in permits.windows - set(possible):
                tenant_limit.ledgers[window].refund()
                permits.windows.discard(window)
            if tenant_limit.limit.unit != Unit.OPENED_CONNECTIONS:
                self.established.add(charge)

    def refund(self, charge: Charge) -> None:
        """Refund all permits of a rejected request. No server can have served it."""
        if charge.closed:
            return
        charge.closed = True
        charge.refund()

    def on_ended(self, charge: Charge) -> None:
        """Refund only the permits of concurrency limits.

        To be called when the connection has ended, or when the request has failed but a server may have served it.
        """
        if charge.closed:
            return
        charge.closed = True
        self.established.discard(charge)
        for permits in charge.permits:
            if permits.tenant_limit.limit.unit == Unit.CONCURRENT_CONNECTIONS:
                permits.tenant_limit.refund(permits.windows)

    def _retry_after_ms(self, tenant_limit: TenantLimit, window: int, ledger: PermitLedger, now_ms: float) -> float:
        """Return after how many milliseconds permits are expected to be available.

        The delay is short if other members may have available permits. Otherwise it lasts into the next window, spread
        randomly so that rejected requests do not all return at once.
        """
        limit = tenant_limit.limit
        jitter = self._random.random()
        reported = [count for key, count in tenant_limit.peer_available.items() if key.window == window]
        all_reported = len(reported) >= len(self._peers.regions)
        if not ledger.allocation_known or not all_reported or any(reported):
            return self._settings.request_interval_ms * (1.0 + 2.0 * jitter)
        rejected_fraction = min(1.0, ledger.rejected / max(1, limit.amount))
        window_left_ms = (window + 1) * limit.window_ms - now_ms
        return window_left_ms + self._settings.skew_ms + jitter * rejected_fraction * limit.window_ms / 2
