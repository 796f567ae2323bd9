"""Settings of the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Effect(IntEnum):
    """Effect of processing the same request a second time."""

    IDEMPOTENT = 0  # a repeat changes nothing
    IDEMPOTENCY_KEY = 1  # endpoints within a scope discard repeats for a limited time
    NOT_IDEMPOTENT = 2  # a repeat takes effect a second time


class Scope(IntEnum):
    """Endpoints that discard repeats of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """Settings of a class of requests."""

    latency_objective_ms: float
    deadline_ms: float  # longest time from a request's arrival to its final answer
    priority_weight: float = 1.0
    effect: Effect = Effect.IDEMPOTENT
    scope: Scope = Scope.ALL
    window_ms: float = 0.0  # how long endpoints remember an idempotency key
    message_latency_objective_ms: float = 0.0  # objective for a message on an open connection; 0: none
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of an instance of the decision module."""

    classes: tuple[ClassSettings, ...]
    gateways: int  # number of instances that share the endpoints
    zone: int  # zone of this instance
    max_attempts: int  # attempts per request
    drain_grace_ms: float  # how long attempts may still begin at a draining endpoint
    answer_slack_ms: float  # how long after its deadline a final answer still counts as on time
    slow_start_initial_fraction: float  # part of its full capacity that a newly started endpoint has
    slow_start_ms: float  # time that a newly started endpoint takes to reach its full capacity
    slow_start_load_multiple: float  # load at which an endpoint in slow start fails, in present capacities
    slow_start_window_ms: float  # how long such an overload takes to make the endpoint fail
    period_ms: float = 1.0  # shortest time between two decisions
    connect_timeout_ms: float = 250.0
    must_watch_endpoints: bool = False  # the endpoint list is sent only after `WatchEndpoints`
    watch_deadline_ms: float = 10000.0  # the decision module has to return `WatchEndpoints` within this time
    can_cancel: bool = False  # `Cancel` is supported
    uses_weights: bool = False  # weights in the endpoint list give the relative sizes of endpoints
    cross_zone_cost: float = 0.0  # cost of an attempt in another zone; 0: none
    over_quota_weight: float = 1.0  # priority weight of a connection beyond its tenant's quota
    # Limits on the open connections through all gateways, by tenant number.
    tenant_connection_quotas: tuple[float, ...] = ()
    reports_load: bool = False  # endpoints send `LoadReported`
    reports_latency: bool = False  # endpoints send `LatencyReported`
    # Bound of consistent hashing with bounded loads, as a multiple of the mean; 0: the default of the policy.
    bound: float = 0.0
    # Largest part of the ring that an endpoint may own, as a multiple of its fair part; 0: not limited.
    evenness: float = 0.0
    max_retry_after_ms: float = 0.0  # longest delay that a rejected client is given; 0: no delay is given
    zones: tuple[str, ...] = ()  # zone names, by zone number
    kinds: tuple[str, ...] = ()  # machine kind names, by kind number
