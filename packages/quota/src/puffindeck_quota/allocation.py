"""What the allocation that was chosen for an epoch gives this gateway in each window."""

from __future__ import annotations

from xxhash import xxh32_intdigest

from puffindeck_quota.limits import QuotaSettings
from puffindeck_quota.messages import Allocation
from puffindeck_quota.paxos import Paxos
from puffindeck_quota.permit_ledger import PermitLedger, ProcessId
from puffindeck_quota.tenant_limit import TenantLimit
from puffindeck_quota.tenant_limits import TenantLimits


class QuotaAllocator:
    """Allocates permits to this gateway's ledgers."""

    def __init__(self, process: ProcessId, settings: QuotaSettings, paxos: Paxos, tenant_limits: TenantLimits) -> None:
        self._process = process
        self._settings = settings
        self._paxos = paxos
        self._tenant_limits = tenant_limits

    def ledger(self, tenant_limit: TenantLimit, window: int) -> PermitLedger:
        """The ledger of a window, with this gateway's permits if the allocation is known by now."""
        ledger = tenant_limit.ledger(window)
        if not ledger.allocation_known:
            allocation = self._chosen(tenant_limit, window)
            if allocation is not None:
                ledger.allocate(self._share(tenant_limit, window, allocation))
        return ledger

    def allocate(self) -> None:
        """Allocate the permits of windows that have a ledger already, after an allocation was learned."""
        for tenant_limit in self._tenant_limits.all():
            for window in tenant_limit.ledgers:
                self.ledger(tenant_limit, window)

    def reduce_allocations(self) -> None:
        """Apply limits that were lowered, after the operator's file was read again."""
        for tenant_limit in self._tenant_limits.all():
            for window, ledger in tenant_limit.ledgers.items():
                allocation = self._chosen(tenant_limit, window)
                if allocation is not None:
                    ledger.reduce_allocation(self._share(tenant_limit, window, allocation))

    def _chosen(self, tenant_limit: TenantLimit, window: int) -> Allocation | None:
        """The allocation of the epoch in which a window begins."""
        epoch = self._settings.epoch_at(window * tenant_limit.limit.window_ms)
        return self._paxos.chosen.get(epoch)

    def _share(self, tenant_limit: TenantLimit, window: int, allocation: Allocation) -> int:
        """An equal part of the permits. The remainder goes to other members in each window."""
        limit = tenant_limit.limit
        processes = [
            ProcessId(member.name, member.process_incarnation)
            for member in allocation.members
            if limit.region in ("", member.region)
        ]
        if self._process not in processes:
            return 0
        amount = min(limit.amount, allocation.amounts.get(limit.name, limit.amount))
        part, remainder = divmod(amount, len(processes))
        rotation = xxh32_intdigest(f"{tenant_limit.key}/{window}".encode()) % len(processes)
        position = (sorted(processes).index(self._process) + rotation) % len(processes)
        return part + (position < remainder)
