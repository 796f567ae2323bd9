"""Charges requests to the quotas of their tenants."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from puffindeck_fleet.filtered_request import FilteredRequest
from puffindeck_quota import Charge, Quota, Rejection


class QuotaAdmission:
    """Tracks the charges of requests. Without a quota, every request is admitted and none is charged."""

    def __init__(self, quota: Quota | None, tenant_of: Callable[[Any], str]) -> None:
        self.quota = quota
        self._tenant_of = tenant_of
        self._request_by_charge: dict[Charge, int] = {}

    def admit(self, request: int, view: Any, now_ms: float, deadline_ms: float) -> Charge | Rejection | None:
        """Charge a request that has to be answered by `deadline_ms`.

        Return its charge, a Rejection if the quota is used up, or None if there is no quota.
        """
        if self.quota is None:
            return None
        charge = self.quota.admit(self._tenant_of(view), now_ms, deadline_ms)
        if not isinstance(charge, Rejection):
            self._request_by_charge[charge] = request
        return charge

    def request_of(self, charge: Charge) -> int | None:
        """Return the request that a charge belongs to; None if the request has ended."""
        return self._request_by_charge.get(charge)

    def on_established(self, request: FilteredRequest, now_ms: float) -> None:
        """Handle the establishment of a request at an endpoint."""
        if request.charge is not None and self.quota is not None:
            self.quota.on_established(request.charge, now_ms)

    def on_closed(self, request: FilteredRequest, now_ms: float) -> None:
        """Handle the end of a request. Its charge is refunded if no endpoint can have served it."""
        if request.charge is None or self.quota is None:
            return
        self._request_by_charge.pop(request.charge, None)
        if request.is_established or request.may_have_been_served:
            self.quota.on_ended(request.charge)
        else:
            self.quota.refund(request.charge)
