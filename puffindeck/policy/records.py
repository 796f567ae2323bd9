"""What the policy records of endpoints and requests. Nothing is decided here."""

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
    """What this gateway knows of an endpoint: its entry in the list, its load from here and its outcomes.

    Defaults are class attributes: a list names many endpoints, and a gateway comes to use few of them. Times
    are milliseconds, -INF for "never".
    """

    # As the endpoint list has it
    zone = -1
    kind = -1
    cell = -1
    state = EndpointStatus.GONE
    weight = 1.0
    started_ms = 0.0  # when it started; 0: not known, it counts as warm

    capacity = 1.0  # relative to the other endpoints, slow start included
    load = 0.0  # of this gateway's connections
    pending_attempts = 0  # attempts whose connection is not established yet

    # Outlier detection
    consecutive_failures = 0
    connect_failures = 0  # in a row
    resets = 0  # established connections that were reset since `resets_since_ms`
    resets_since_ms = 0.0
    ejected_until_ms = 0.0
    last_failure_ms = -INF
    last_success_ms = -INF
    newest_established_sent_ms = -INF  # when the newest of its attempts that were established was sent

    # Load limit
    load_limit = INF  # the most load that it has been seen to bear
    load_limit_lowered_ms = -INF
    message_latency_ms = 0.0  # as last reported
    latency_reported_ms = -INF

    # Slow start
    reattached_ms = -INF  # when an operator last put it back, or a restart was inferred
    trial_from_ms = -INF  # when this gateway may check whether a reattached endpoint serves
    slow_start_credit = 0.0  # connections that it may be sent while it warms up
    slow_start_credit_ms = -INF  # when that was last computed

    def __init__(self, endpoint: int) -> None:
        self.id = endpoint
        self.connections: dict[int, Request] = {}  # attempts and established connections, by request
        self.groups: dict[int, int] = {}  # connections by group

    def is_avoided(self, now_ms: float) -> bool:
        """Whether it is ejected, or has failed and is being tried with one attempt at a time."""
        return now_ms < self.ejected_until_ms or (self.consecutive_failures > 0 and self.pending_attempts > 0)


class Request:
    """A request from its arrival to its last outcome. Times are milliseconds."""

    attempts = 0
    endpoint: Endpoint | None = None  # of its current attempt or established connection
    in_progress = False  # an attempt is pending, or its connection is established
    established = False
    answered = False  # finally answered, or migrated
    mid_flow = False
    returning = False
    first_run_endpoint: Endpoint | None = None  # of the first attempt that may have run
    first_run_ms = 0.0  # when that was sent
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
        self.spread_key = event.key or event.request  # tells members of one group apart
        self.deadline_ms = deadline_ms
        self.load = load
        self.load_is_reported = event.load_hint > 0
        self.tried: set[int] = set()
        # endpoints that answered but did not serve it: request or endpoint may be at fault
        self.inconclusive_failures: list[Endpoint] = []

    def is_safe_to_retry(self) -> bool:
        """Whether a second run would change nothing, as far as is known."""
        effect = self.rules.effect
        return (
            effect == Effect.IDEMPOTENT
            or (effect == Effect.IDEMPOTENCY_KEY and self.rules.scope == Scope.ALL)
            or not self.first_run_endpoint
        )
