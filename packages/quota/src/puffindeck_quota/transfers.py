"""Moves permits between gateways so that they follow demand."""

from __future__ import annotations

from random import Random

from puffindeck_quota.allocation import QuotaAllocator
from puffindeck_quota.limits import QuotaSettings
from puffindeck_quota.messages import Transfer, TransferRequest
from puffindeck_quota.outbox import Outbox
from puffindeck_quota.peers import Peers
from puffindeck_quota.permit_ledger import ProcessId
from puffindeck_quota.tenant_limit import MS_PER_SECOND, PeerWindow, TenantLimit
from puffindeck_quota.tenant_limits import TenantLimits

NEGLIGIBLE_RATE = 0.05  # requests a second: demand below this counts as none
REQUEST_BACKOFF = 1.2  # growth of the interval between requests that bring nothing
WORTHWHILE_FRACTION = 0.02  # of the available permits: a transfer above this makes the next request due at once
EMPTY_DONOR_PROBABILITY = 0.2  # of asking a member that reported no available permits
UNKNOWN_AVAILABLE = 1 << 60  # members that have reported nothing are asked first


class PermitTransfers:
    """Requests permits before they run out here, and shares what is available with members that ask."""

    def __init__(
        self,
        process: ProcessId,
        settings: QuotaSettings,
        allocator: QuotaAllocator,
        peers: Peers,
        tenant_limits: TenantLimits,
        outbox: Outbox,
        random: Random,
    ) -> None:
        self._process = process
        self._settings = settings
        self._allocator = allocator
        self._peers = peers
        self._tenant_limits = tenant_limits
        self._outbox = outbox
        self._random = random
        self._requested_ms = float("-inf")

    def request_permits_if_due(self, now_ms: float) -> None:
        """Request what will be needed here, for each limit with demand."""
        if now_ms - self._requested_ms < self._settings.request_interval_ms:
            return
        self._requested_ms = now_ms
        for tenant_limit in self._tenant_limits.sorted_active():
            rate = tenant_limit.demand_rate(now_ms, self._settings.demand_memory_ms)
            if rate < NEGLIGIBLE_RATE:
                self._tenant_limits.active.discard(tenant_limit)
            elif self._request_due(now_ms, tenant_limit, rate):
                self._request_permits(now_ms, tenant_limit, rate)

    def on_transfer_request(self, now_ms: float, sender: str, request: TransferRequest) -> None:
        """Share what is available at both gateways in proportion to their demand."""
        tenant_limit = self._tenant_limits.find(request.limit)
        if tenant_limit is None or not self._is_current(now_ms, tenant_limit, request.window):
            return
        ledger = self._allocator.ledger(tenant_limit, request.window)
        own_rate = tenant_limit.demand_rate(now_ms, self._settings.demand_memory_ms)
        both_available = max(0, ledger.available) + max(0, request.available)
        both_rates = request.rate + own_rate
        fraction = request.rate / both_rates if both_rates > 0 else 0.5
        count = int(both_available * fraction + 0.5) - max(0, request.available)
        total = ledger.transfer(ProcessId(sender, request.process_incarnation), count)
        tenant_limit.peer_available[PeerWindow(request.window, sender)] = request.available + max(0, count)
        transfer = Transfer(
            request.limit,
            request.window,
            total,
            request.process_incarnation,
            self._process.process_incarnation,
            ledger.available,
        )
        self._outbox.send(sender, transfer)

    def on_transfer(self, now_ms: float, sender: str, transfer: Transfer) -> None:
        """Take the permits that another member has transferred to this process."""
        tenant_limit = self._tenant_limits.find(transfer.limit)
        if tenant_limit is None or transfer.receiver_incarnation != self._process.process_incarnation:
            return
        if not self._is_current(now_ms, tenant_limit, transfer.window):
            return
        tenant_limit.peer_available[PeerWindow(transfer.window, sender)] = transfer.available
        ledger = self._allocator.ledger(tenant_limit, transfer.window)
        received = ledger.receive(ProcessId(sender, transfer.process_incarnation), transfer.total)
        if received > WORTHWHILE_FRACTION * max(1, ledger.available):
            tenant_limit.request_at_once()

    def select_donors(self, tenant_limit: TenantLimit, window: int) -> list[str]:
        """The members to ask: those that have reported nothing yet, then those with most permits available."""
        region = tenant_limit.limit.region
        names = [name for name, where in self._peers.regions.items() if not region or where == region]
        self._random.shuffle(names)
        available = {
            name: tenant_limit.peer_available.get(PeerWindow(window, name), UNKNOWN_AVAILABLE) for name in names
        }
        names.sort(key=lambda name: -available[name])
        asked = [name for name in names if available[name] != 0 or self._random.random() < EMPTY_DONOR_PROBABILITY]
        return asked[: self._settings.max_donors]

    def _request_due(self, now_ms: float, tenant_limit: TenantLimit, rate: float) -> bool:
        """Whether the interval since the last request is over, or permits are about to run out."""
        current = tenant_limit.limit.window_at(now_ms)
        available = self._allocator.ledger(tenant_limit, current).available
        if available < rate * self._settings.low_permits_ms / MS_PER_SECOND:
            tenant_limit.next_request_ms = min(tenant_limit.next_request_ms, now_ms)
        return tenant_limit.next_request_ms <= now_ms

    def _request_permits(self, now_ms: float, tenant_limit: TenantLimit, rate: float) -> None:
        settings = self._settings
        limit = tenant_limit.limit
        tenant_limit.request_interval_ms = min(
            settings.max_request_interval_ms,
            max(settings.request_interval_ms, REQUEST_BACKOFF * tenant_limit.request_interval_ms),
        )
        tenant_limit.next_request_ms = now_ms + tenant_limit.request_interval_ms
        for window in limit.windows_between(now_ms, now_ms + settings.prefetch_ms):
            available = self._allocator.ledger(tenant_limit, window).available
            remaining_ms = (window + 1) * limit.window_ms - max(now_ms, window * limit.window_ms)
            if available >= max(1.0, rate * remaining_ms / MS_PER_SECOND):
                continue
            request = TransferRequest(tenant_limit.key, window, available, rate, self._process.process_incarnation)
            for name in self.select_donors(tenant_limit, window):
                self._outbox.send(name, request)

    def _is_current(self, now_ms: float, tenant_limit: TenantLimit, window: int) -> bool:
        """Whether permits of this window are worth moving: it is the present or the next one."""
        return 0 <= window - tenant_limit.limit.window_at(now_ms - self._settings.skew_ms) <= 1
