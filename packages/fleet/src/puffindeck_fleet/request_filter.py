"""A filter between a node's engine and its decision module that applies quotas and residency rules.

The filter implements the decision module's interface, so that it applies to every protocol front end. It does
not decide anything itself: `puffindeck-quota` decides whether a request is admitted, `puffindeck-residency`
which regions it may be sent to, and the decision module which endpoint it is sent to.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, cast

from puffindeck.core.dispatcher import Decisions
from puffindeck.interface import (
    NOT_PROCESSED,
    Action,
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionRestored,
    Event,
    Fail,
    Migrate,
    Outcome,
    Reject,
    RequestAborted,
    RequestArrived,
    Settings,
    SettingsChanged,
    TimerFired,
)
from puffindeck_fleet.filtered_request import FilteredRequest
from puffindeck_fleet.quota_admission import QuotaAdmission
from puffindeck_fleet.region_enforcement import RegionalDecisions, RegionEnforcement
from puffindeck_quota import Charge, Quota, Rejection
from puffindeck_residency import RulesetStore

DEFAULT_TENANT = "default"  # tenant of requests that match no configured tenant
FLUSH = TimerFired(-1)  # makes the filter return pending actions without another event
UNSERVED_OUTCOMES = NOT_PROCESSED | {Outcome.ERROR}  # outcomes of attempts that no endpoint has served
NOT_SERVED_RETRY_AFTER_MS = 1000.0  # retry delay for a client whose service may not be served here now


class RequestFilter:
    """Wraps the decision module `inner` and applies quotas and residency rules to its requests.

    `view` returns the attributes of a request that conditions are evaluated on, and `tenant` returns the tenant
    for those attributes. If `ruleset_store` is given, `inner` must be a `puffindeck_residency.RegionalBalancer`.
    Connections in a region that is no longer allowed migrate within `migrate_within_ms` milliseconds.
    """

    def __init__(
        self,
        inner: Decisions,
        settings: Settings,
        quota: Quota | None,
        tenant: Callable[[Any], str] = lambda view: DEFAULT_TENANT,
        *,
        view: Callable[[RequestArrived], Any] = lambda event: event,
        ruleset_store: RulesetStore | None = None,
        region: str = "",
        migrate_within_ms: float = 30000.0,
    ) -> None:
        self.quota = quota
        self.ruleset_store = ruleset_store
        self._inner = inner
        self._settings = settings
        self._view_of = view
        self._admission = QuotaAdmission(quota, tenant)
        self._regions: RegionEnforcement | None = None
        if ruleset_store is not None:
            module = cast(RegionalDecisions, inner)
            self._regions = RegionEnforcement(module, ruleset_store, region, migrate_within_ms)
        self._requests: dict[int, FilteredRequest] = {}
        self._released: list[int] = []  # requests to migrate with the next actions

    def load_limits(self) -> dict[int, float]:
        """Return the load limits of the decision module."""
        return self._inner.load_limits()

    def release(self, charge: Charge) -> None:
        """Migrate a connection whose charge was revoked, with the next call of `handle` (`FLUSH`)."""
        request = self._admission.request_of(charge)
        if request is not None:
            self._released.append(request)

    def count_violating_connections(self) -> dict[str, int]:
        """Return the number of connections in regions that are not allowed, by service."""
        return self._regions.violations_by_service(self._requests) if self._regions is not None else {}

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Pass admitted events to the decision module, and return its actions and those of the filter."""
        if self._regions is not None:
            self._regions.apply_new_rules(self._requests)
        forwarded: list[Event] = []
        rejections: list[Action] = []
        for event in events:
            if event is FLUSH:
                continue
            rejection = self._filter(now_ms, event)
            if rejection is None:
                forwarded.append(event)
            else:
                rejections.append(rejection)
        actions = self._inner.handle(now_ms, forwarded)
        for action in actions:
            if isinstance(action, (Reject, Fail)):
                self._on_final_answer(now_ms, action.request)
        return rejections + actions + self._migrations(now_ms)

    def _migrations(self, now_ms: float) -> list[Action]:
        if self._regions is not None:
            self._released += self._regions.due_migrations(now_ms)
        released = self._released
        self._released = []
        return [Migrate(request) for request in released if request in self._requests]

    # Admission

    def _filter(self, now_ms: float, event: Event) -> Reject | None:
        """Update the state of the event's request. Return a Reject if the event must not be forwarded."""
        match event:
            case RequestArrived():
                return self._admit(now_ms, event)
            case ConnectionRestored():
                pass  # the connection was charged before this process started
            case SettingsChanged():
                self._settings = event.settings
            case AttemptEstablished():
                self._on_established(now_ms, event)
            case AttemptEnded():
                self._on_attempt_ended(now_ms, event)
            case ClientDisconnected():
                self._on_client_disconnected(now_ms, event)
            case RequestAborted():
                self._on_aborted(event)
        return None

    def _admit(self, now_ms: float, event: RequestArrived) -> Reject | None:
        if event.request in self._requests:
            return None
        view = self._view_of(event)
        if self._regions is not None and not self._regions.admit(event.request, view, now_ms):
            return self._reject(event, NOT_SERVED_RETRY_AFTER_MS)
        charge = self._admission.admit(event.request, view, now_ms, now_ms + event.remaining_ms)
        if isinstance(charge, Rejection):
            if self._regions is not None:
                self._regions.withdraw(event.request)
            return self._reject(event, charge.retry_after_ms)
        self._requests[event.request] = FilteredRequest(charge, view)
        return None

    def _reject(self, event: RequestArrived, retry_after_ms: float) -> Reject:
        return Reject(event.request, min(self._settings.max_retry_after_ms, retry_after_ms))

    # Progress of requests

    def _on_established(self, now_ms: float, event: AttemptEstablished) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_established:
            request.is_established = True
            self._admission.on_established(request, now_ms)

    def _on_attempt_ended(self, now_ms: float, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None:
            return
        if not request.is_established and event.outcome not in UNSERVED_OUTCOMES:
            request.may_have_been_served = True
        if request.is_established or event.final:
            self._close(now_ms, event.request, request)

    def _on_client_disconnected(self, now_ms: float, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_established:
            request.may_have_been_served = True  # an attempt may still be established
            self._close(now_ms, event.request, request)

    def _on_aborted(self, event: RequestAborted) -> None:
        """Handle the abort of a request, which ends with its final answer."""
        request = self._requests.get(event.request)
        if request is not None:
            request.may_have_been_served = True  # an attempt may still be established

    def _on_final_answer(self, now_ms: float, request_id: int) -> None:
        request = self._requests.get(request_id)
        if request is not None and not request.is_established:
            self._close(now_ms, request_id, request)

    def _close(self, now_ms: float, request_id: int, request: FilteredRequest) -> None:
        del self._requests[request_id]
        self._admission.on_closed(request, now_ms)
