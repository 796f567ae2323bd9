"""The configured limits, and the state of each limit for each known tenant."""

from __future__ import annotations

from collections.abc import Iterable

from puffindeck_quota.limits import ALL_TENANTS, Limit, QuotaSettings
from puffindeck_quota.tenant_limit import TenantLimit


class TenantLimits:
    """Owns every `TenantLimit` of a gateway, and the set of those with demand."""

    def __init__(self, limits: Iterable[Limit], region: str, settings: QuotaSettings) -> None:
        self.limits = {limit.name: limit for limit in limits}
        self.active: set[TenantLimit] = set()  # tenant limits with recent demand
        self._region = region
        self._settings = settings
        self._by_key: dict[str, TenantLimit] = {}
        self._by_tenant: dict[str, list[TenantLimit]] = {}

    def all(self) -> list[TenantLimit]:
        """Return all tenant limits, in order of creation."""
        return list(self._by_key.values())

    def sorted_active(self) -> list[TenantLimit]:
        """Return the tenant limits with recent demand, sorted by key."""
        return sorted(self.active, key=lambda tenant_limit: tenant_limit.key)

    def for_tenant(self, tenant: str) -> list[TenantLimit]:
        """Return the limits that this gateway enforces on a tenant."""
        found = self._by_tenant.get(tenant)
        if found is None:
            found = [
                self._get_or_create(limit, tenant)
                for limit in self.limits.values()
                if limit.applies_to(tenant, self._region)
            ]
            self._by_tenant[tenant] = found
        return found

    def find(self, key: str) -> TenantLimit | None:
        """Return the tenant limit with a key received from another member, creating it if needed.

        Return None if no such limit is configured here, or if it does not apply to the tenant in this region.
        """
        name, _, tenant = key.partition("#")
        limit = self.limits.get(name)
        if limit is None or not limit.applies_to(tenant, self._region):
            return None
        return self._get_or_create(limit, tenant)

    def create_for_named_tenants(self) -> None:
        """Create the limits of tenants that are configured by name, so that they are shown before the first request."""
        for limit in self.limits.values():
            if limit.tenant != ALL_TENANTS:
                self.find(f"{limit.name}#{limit.tenant}")

    def replace_limits(self, limits: Iterable[Limit]) -> None:
        """Replace the configured limits after a reload. Limits that are no longer configured are removed."""
        self.limits = {limit.name: limit for limit in limits}
        self._by_tenant.clear()
        for key, tenant_limit in list(self._by_key.items()):
            limit = self.limits.get(key.partition("#")[0])
            if limit is None:
                del self._by_key[key]
                self.active.discard(tenant_limit)
            else:
                tenant_limit.limit = limit

    def epochs_in_use(self, now_ms: float) -> set[int]:
        """Return the epochs in which the current and the next window of each limit begin."""
        epochs: set[int] = set()
        for limit in self.limits.values():
            first = limit.window_at(now_ms - self._settings.skew_ms)
            for window in (first, first + 1):
                epochs.add(self._settings.epoch_at(window * limit.window_ms))
        return epochs

    def discard_past_windows(self, now_ms: float) -> None:
        """Discard the state of windows that have ended."""
        for tenant_limit in self._by_key.values():
            current = tenant_limit.limit.window_at(now_ms - self._settings.skew_ms)
            tenant_limit.discard_before(current - 1)

    def _get_or_create(self, limit: Limit, tenant: str) -> TenantLimit:
        key = f"{limit.name}#{tenant}"
        found = self._by_key.get(key)
        if found is None:
            found = TenantLimit(limit, key)
            self._by_key[key] = found
        return found
