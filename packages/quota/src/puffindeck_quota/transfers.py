"""Transfers permits between gateways in proportion to demand."""

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

NEGLIGIBLE_RATE = 0.05  # requests per second; lower demand is treated as none
REQUEST_BACKOFF = 1.2  # factor by which the interval grows while requests yield no permits
# A transfer larger than this fraction of the available permits makes the next request due immediately.
SIGNIFICANT_TRANSFER_FRACTION = 0.02
EMPTY_DONOR_PROBABILITY = 0.2  # probability of a request to a member that has reported no available permits
UNKNOWN_AVAILABLE = 1 << 60  # assumed for members that have not reported yet, so that they are the first donors


class PermitTransfers:
    """Requests permits before they run out at this gateway, and transfers available permits to members on request."""

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
        """Request the permits that this gateway will need, for each limit with demand."""
        if now_ms - self._requested_ms < self._settings.request_interval_ms:
            return
        self._requested_ms = now_ms
        for tenant_limit in self._tenant_limits.sorted_active():
            rate = tenant_limit.demand_rate(now_ms, self._settings.demand_time_constant_ms)
            if rate < NEGLIGIBLE_RATE:
                self._tenant_limits.active.discard(tenant_limit)
            elif self._request_due(now_ms, tenant_limit, rate):
                self._request_permits(now_ms, tenant_limit, rate)

    def on_transfer_request(self, now_ms: float, sender: str, request: TransferRequest) -> None:
        """Transfer permits so that those available at both gateways are divided in proportion to their demand."""
        tenant_limit = self._tenant_limits.find(request.limit)
        if tenant_limit is None or not self._is_current(now_ms, tenant_limit, request.window):
            return
        ledger = self._allocator.ledger(tenant_limit, request.window)
        own_rate = tenant_limit.demand_rate(now_ms, self._settings.demand_time_constant_ms)
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
        """Receive permits that another member has transferred to this process.

        Permits that were transferred to an earlier process of this member are ignored.
        """
        tenant_limit = self._tenant_limits.find(transfer.limit)
        if tenant_limit is None or transfer.receiver_incarnation != self._process.process_incarnation:
            return
        if not self._is_current(now_ms, tenant_limit, transfer.window):
            return
        tenant_limit.peer_available[PeerWindow(transfer.window, sender)] = transfer.available
        ledger = self._allocator.ledger(tenant_limit, transfer.window)
        received = ledger.receive(ProcessId(sender, transfer.process_incarnation), transfer.total)
        if received > SIGNIFICANT_TRANSFER_FRACTION * max(1, ledger.available):
            tenant_limit.make_request_due()

    def select_donors(self, tenant_limit: TenantLimit, window: int) -> list[str]:
        """Return the members to request permits from.

        Members that have not reported yet come first, then those with the most available permits. Members without
        available permits are included only with a low probability.
        """
        region = tenant_limit.limit.region
        names = [name for name, peer_region in self._peers.regions.items() if not region or peer_region == region]
        self._random.shuffle(names)
        available = {
            name: tenant_limit.peer_available.get(PeerWindow(window, name), UNKNOWN_AVAILABLE) for name in names
        }
        names.sort(key=lambda name: -available[name])
        donors = [name for name in names if available[name] != 0 or self._random.random() < EMPTY_DONOR_PROBABILITY]
        return donors[: self._settings.max_donors]

    def _request_due(self, now_ms: float, tenant_limit: TenantLimit, rate: float) -> bool:
        """Return whether the request interval has passed or the available permits are about to run out."""
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
        """Return whether a window is the current or the next one, within the permitted clock skew."""
        return 0 <= window - tenant_limit.limit.window_at(now_ms - self._settings.skew_ms) <= 1
