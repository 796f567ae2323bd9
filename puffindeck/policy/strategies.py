"""Strategies, which replace parts of a Balancer's decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from puffindeck.interface import AttemptEnded
from puffindeck.policy.capacity import CapacityModel
from puffindeck.policy.context import DecisionContext
from puffindeck.policy.endpoint_registry import EndpointRegistry
from puffindeck.policy.hash_ring import HashRing, RingProvider
from puffindeck.policy.load_accounting import LoadAccounting
from puffindeck.policy.outlier_detection import RestartInference
from puffindeck.policy.placement import EndpointChooser, PlacementScope
from puffindeck.policy.records import Request
from puffindeck.policy.retry_policy import RetryJitter, SlowAttemptLimit
from puffindeck.policy.send_rules import EndpointFilter, SendRules
from puffindeck.policy.slow_start import SlowStartAdmission, SlowStartBudget
from puffindeck.policy.timer_queue import TimerQueue
from puffindeck.policy.traffic_shares import ShareEstimator, TrafficShares


class Verdict(Enum):
    """What happens to a request that is about to be placed."""

    PLACE = 1  # place it
    ANSWER = 2  # give it its final answer without placing it
    RELEASE = 3  # hand it over to the gate, without an answer from this balancer


class PlacementGate(Protocol):
    """Reviews each request before it is placed."""

    def review(self, request: Request) -> Verdict:
        """Return what happens to the request."""

    def release(self, request: Request) -> None:
        """Take over a request that this balancer has removed without an answer."""


class LifecycleListener:
    """Is notified of the steps of requests. Subclasses override the methods that they need."""

    def batch_started(self) -> None:
        """Called before a batch of events is handled."""

    def request_arrived(self) -> None:
        """Called when a request has arrived, even if it is already known."""

    def request_accepted(self, request: Request) -> None:
        """Called when a request has been recorded, before it is placed."""

    def attempt_ended(self, request: Request, event: AttemptEnded) -> None:
        """Called when an attempt or connection of a known request has ended, before that is recorded."""

    def request_removed(self, request: Request) -> None:
        """Called when a request has been removed."""

    def endpoints_listed(self) -> None:
        """Called when an endpoint list or changes to the list have arrived."""

    def endpoint_reattached(self, endpoint: int) -> None:
        """Called when the reattachment of an endpoint by an operator has been recorded."""


class PlacementWrapper(Protocol):
    """Creates a chooser that handles some requests itself and delegates the others to the default chooser."""

    def __call__(
        self, fallback: EndpointChooser, rules: SendRules, endpoint_filter: EndpointFilter | None
    ) -> EndpointChooser:
        """Return the chooser that replaces `fallback`, which is the default one."""


class GatewayState:
    """The parts of a Balancer that depend on no strategy, and from which strategies are created."""

    __slots__ = (
        "capacities",
        "context",
        "hash_ring",
        "loads",
        "registry",
        "requests",
        "shares",
        "slow_start",
        "timers",
    )

    def __init__(self, context: DecisionContext, minimum_connections: Callable[[], float]) -> None:
        self.context = context
        self.timers = TimerQueue()
        self.requests: dict[int, Request] = {}  # modified by RequestLifecycle only
        self.registry = EndpointRegistry()
        self.hash_ring = HashRing()
        self.shares = TrafficShares()
        self.capacities = CapacityModel(context, self.registry, self.requests, minimum_connections)
        self.loads = LoadAccounting(context, self.requests)
        self.slow_start = SlowStartBudget(context, self.registry, self.capacities, self.loads, self.requests)


@dataclass(slots=True, frozen=True, kw_only=True)
class Strategies:
    """The parts that are replaced in a Balancer. None selects the default."""

    ring: RingProvider | None = None
    shares: ShareEstimator | None = None
    slow_start: SlowStartAdmission | None = None
    endpoint_filter: EndpointFilter | None = None
    scope: PlacementScope | None = None
    wrap_placement: PlacementWrapper | None = None
    restarts: RestartInference | None = None
    jitter: RetryJitter | None = None
    slow_attempt_limit: SlowAttemptLimit | None = None
    gates: tuple[PlacementGate, ...] = ()
    listeners: tuple[LifecycleListener, ...] = ()


StrategyFactory = Callable[[GatewayState], Strategies]
