"""Records of endpoints and requests. This module makes no decisions."""

from __future__ import annotations

from puffindeck.hashes import mix64
from puffindeck.interface import (
    ClassSettings,
    ConnectionRestored,
    Effect,
    EndpointStatus,
    RequestArrived,
    Scope,
    Settings,
)

INF = float("inf")


class Endpoint:
    """What this gateway knows about an endpoint: its list entry, its load from this gateway and its outcomes.

    Defaults are class attributes, because the list has many endpoints and a gateway uses only a few of them.
    Times are in milliseconds; -INF means "never".
    """

    # From the endpoint list
    zone = -1
    kind = -1
    cell = -1
    state = EndpointStatus.GONE
    weight = 1.0
    started_ms = 0.0  # start time of its process; 0: unknown, and not in slow start

    capacity = 1.0  # capacity relative to the other endpoints, reduced during slow start
    load = 0.0  # load of this gateway's connections
    pending_attempts = 0  # attempts whose connection is not established yet

    # Outlier detection
    consecutive_failures = 0
    connect_failures = 0  # consecutive connect failures
    resets = 0  # number of established connections that were reset since `resets_since_ms`
    resets_since_ms = 0.0
    ejected_until_ms = 0.0
    last_failure_ms = -INF
    last_success_ms = -INF
    newest_established_sent_ms = -INF  # when the most recently sent of its established attempts was sent

    # Load limit
    load_limit = INF  # highest load that the endpoint is known to sustain; INF: no limit is known
    load_limit_lowered_ms = -INF
    message_latency_ms = 0.0  # message latency in its last report
    latency_reported_ms = -INF

    # Slow start
    reattached_ms = -INF  # when an operator last reattached the endpoint, or a restart was inferred
    trial_from_ms = -INF  # earliest time for this gateway to try a reattached endpoint
    slow_start_credit = 0.0  # connections that the endpoint may be sent during slow start
    slow_start_credit_ms = -INF  # when `slow_start_credit` was last updated

    def __init__(self, endpoint: int) -> None:
        self.id = endpoint
        self.connections: dict[int, Request] = {}  # pending attempts and established connections, by request
        self.groups: dict[int, int] = {}  # number of connections by group

    def is_avoided(self, now_ms: float) -> bool:
        """Return whether the endpoint is ejected, or is being probed with a single attempt after failures."""
        return now_ms < self.ejected_until_ms or (self.consecutive_failures > 0 and self.pending_attempts > 0)


class Request:
    """A request from its arrival to its last outcome. Times are in milliseconds."""

    attempts = 0
    endpoint: Endpoint | None = None  # endpoint of its current attempt or established connection
    in_progress = False  # whether an attempt is pending or a connection is established
    established = False
    answered = False  # whether the request was given its final answer or was migrated
    mid_flow = False  # whether it continues a flow for which an endpoint may already have state
    returning = False  # whether the client says that it is retrying
    first_run_endpoint: Endpoint | None = None  # endpoint of the first attempt that may have been processed
    first_run_ms = 0.0  # when that attempt was sent
    sent_ms = 0.0  # when the current attempt was sent
    arrived_ms = 0.0

    def __init__(
        self, event: RequestArrived | ConnectionRestored, settings: Settings, load: float, deadline_ms: float
    ) -> None:
        self.id = event.request
        self.cls = event.cls
        self.tenant = event.tenant
        self.rules: ClassSettings = settings.classes[event.cls]
        self.max_attempts = settings.max_attempts
        self.group = event.group
        self.key = event.group or event.key
        self.hash = mix64(self.key or event.request)
        self.spread_key = event.key or event.request  # distinguishes the members of a group
        self.deadline_ms = deadline_ms
        self.load = load
        self.load_is_reported = event.load_hint > 0
        self.tried: set[int] = set()
        # Endpoints that responded but did not serve the request. The request or the endpoint may be at fault.
        self.inconclusive_failures: list[Endpoint] = []

    def is_safe_to_retry(self) -> bool:
        """Return whether a retry is known to have no effect beyond that of a single run."""
        effect = self.rules.effect
        return (
            effect == Effect.IDEMPOTENT
            or (effect == Effect.IDEMPOTENCY_KEY and self.rules.scope == Scope.ALL)
            or not self.first_run_endpoint
        )
