"""The settings of the decision module."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Effect(IntEnum):
    """What a second run of the same request would do."""

    IDEMPOTENT = 0  # repeating changes nothing
    IDEMPOTENCY_KEY = 1  # repeats are discarded by the endpoints of one scope, for a while
    NOT_IDEMPOTENT = 2  # repeating would act twice


class Scope(IntEnum):
    """Which endpoints discard repeats of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


@dataclass(slots=True, frozen=True)
class ClassSettings:
    """The settings of one class of requests."""

    latency_objective_ms: float
    deadline_ms: float  # from the request's arrival to its final answer
    priority_weight: float = 1.0
    effect: Effect = Effect.IDEMPOTENT
    scope: Scope = Scope.ALL
    window_ms: float = 0.0  # how long an idempotency key is remembered
    message_latency_objective_ms: float = 0.0  # of one message on an open connection; 0: none
    name: str = ""


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one instance of the decision module."""

    classes: tuple[ClassSettings, ...]
    gateways: int  # instances that share the endpoints
    zone: int  # of this instance
    max_attempts: int  # for each request
    drain_grace_ms: float  # how long attempts may still begin at an endpoint that drains
    answer_slack_ms: float  # how late after its deadline a final answer still counts
    slow_start_initial_fraction: float  # of its full load, for an endpoint that has just started
    slow_start_ms: float
    slow_start_load_multiple: float  # of its present capacity, at which an endpoint in slow start fails
    slow_start_window_ms: float  # how long such an overload takes to make it fail
    period_ms: float = 1.0  # the least time between two decisions
    connect_timeout_ms: float = 250.0
    must_watch_endpoints: bool = False  # the endpoint list is sent only after `WatchEndpoints`
    watch_deadline_ms: float = 10000.0  # within which `WatchEndpoints` has to be asked for
    can_cancel: bool = False  # `Cancel` is supported
    uses_weights: bool = False  # weights in the endpoint list say how large an endpoint is
    cross_zone_cost: float = 0.0  # of an attempt in another zone; 0: none
    over_quota_weight: float = 1.0  # priority weight of a connection beyond its tenant's quota
    tenant_connection_quotas: tuple[float, ...] = ()  # open connections by tenant, all gateways together
    reports_load: bool = False  # endpoints send `LoadReported`
    reports_latency: bool = False  # endpoints send `LatencyReported`
    bound: float = (
        0.0  # the bounded load of consistent hashing, as a multiple of the mean; 0: the module's own
    )
    evenness: float = (
        0.0  # the largest arc of an endpoint on the ring, as a multiple of its due; 0: not limited
    )
    max_retry_after_ms: float = 0.0  # the longest delay that a rejected client is told; 0: it is told none
    zones: tuple[str, ...] = ()  # names by zone number
    kinds: tuple[str, ...] = ()  # names by machine kind number
