"""Divides the permits of each window among the members of the allocation that was chosen for its epoch."""

from __future__ import annotations

from xxhash import xxh32_intdigest

from puffindeck_quota.limits import QuotaSettings
from puffindeck_quota.messages import Allocation
from puffindeck_quota.paxos import Paxos
from puffindeck_quota.permit_ledger import PermitLedger, ProcessId
from puffindeck_quota.tenant_limit import TenantLimit
from puffindeck_quota.tenant_limits import TenantLimits


class QuotaAllocator:
    """Adds this gateway's share of the permits to its ledgers."""

    def __init__(self, process: ProcessId, settings: QuotaSettings, paxos: Paxos, tenant_limits: TenantLimits) -> None:
        self._process = process
        self._settings = settings
        self._paxos = paxos
        self._tenant_limits = tenant_limits

    def ledger(self, tenant_limit: TenantLimit, window: int) -> PermitLedger:
        """Return the ledger of a window, with this gateway's permits allocated if the allocation is known."""
        ledger = tenant_limit.ledger(window)
        if not ledger.allocation_known:
            allocation = self._chosen(tenant_limit, window)
            if allocation is not None:
                ledger.allocate(self._share(tenant_limit, window, allocation))
        return ledger

    def allocate(self) -> None:
        """After an allocation was learned, allocate the permits of all windows that already have a ledger."""
        for tenant_limit in self._tenant_limits.all():
            for window in tenant_limit.ledgers:
                self.ledger(tenant_limit, window)

    def reduce_allocations(self) -> None:
        """After a reload, apply lowered limits to the current windows."""
        for tenant_limit in self._tenant_limits.all():
            for window, ledger in tenant_limit.ledgers.items():
                allocation = self._chosen(tenant_limit, window)
                if allocation is not None:
                    ledger.reduce_allocation(self._share(tenant_limit, window, allocation))

    def _chosen(self, tenant_limit: TenantLimit, window: int) -> Allocation | None:
        """Return the allocation of the epoch in which a window begins, or None if it is unknown."""
        epoch = self._settings.epoch_at(window * tenant_limit.limit.window_ms)
        return self._paxos.chosen.get(epoch)

    def _share(self, tenant_limit: TenantLimit, window: int, allocation: Allocation) -> int:
        """Return this process's equal share of the permits.

        The remainder of the division goes to different members in each window, rotated by a hash.
        """
        limit = tenant_limit.limit
        processes = [
            ProcessId(member.name, member.process_incarnation)
            for member in allocation.members
            if limit.region in ("", member.region)
        ]
        if self._process not in processes:
            return 0
        amount = min(limit.amount, allocation.amounts.get(limit.name, limit.amount))
        share, remainder = divmod(amount, len(processes))
        rotation = xxh32_intdigest(f"{tenant_limit.key}/{window}".encode()) % len(processes)
        position = (sorted(processes).index(self._process) + rotation) % len(processes)
        return share + (position < remainder)
