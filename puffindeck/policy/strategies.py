"""What may be replaced in a Balancer: each strategy answers one question, and None keeps the usual answer."""

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
    """What is to be done with a request that waits for a place."""

    PLACE = 1
    ANSWER = 2  # finally: it has no place here
    RELEASE = 3  # it goes on elsewhere, without an answer from here


class PlacementGate(Protocol):
    """Looks at each request that waits before it is placed."""

    def review(self, request: Request) -> Verdict:
        """What is to be done with it."""

    def release(self, request: Request) -> None:
        """Take over a request that is to go on elsewhere. It has been removed here."""


class LifecycleListener:
    """Is called at the steps of requests. Subclasses override what they need."""

    def batch_started(self) -> None:
        """Events are about to be handled."""

    def request_arrived(self) -> None:
        """A request has come, perhaps one that is known already."""

    def request_accepted(self, request: Request) -> None:
        """A request is recorded, and not placed yet."""

    def attempt_ended(self, request: Request, event: AttemptEnded) -> None:
        """An attempt or connection of a known request has ended; nothing has been recorded of that yet."""

    def request_removed(self, request: Request) -> None:
        """A request is over."""

    def endpoints_listed(self) -> None:
        """A list, or changes of one, have come."""

    def endpoint_reattached(self, endpoint: int) -> None:
        """An operator has put an endpoint back, and that is recorded."""


class PlacementWrapper(Protocol):
    """Makes a chooser that looks at some requests itself and leaves the others to the usual one."""

    def __call__(
        self, fallback: EndpointChooser, rules: SendRules, endpoint_filter: EndpointFilter | None
    ) -> EndpointChooser:
        """The chooser in its place."""


class GatewayState:
    """The parts of a Balancer that stand on no strategy; strategies are given those that they need."""

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
        self.requests: dict[int, Request] = {}  # RequestLifecycle adds and removes
        self.registry = EndpointRegistry()
        self.hash_ring = HashRing()
        self.shares = TrafficShares()
        self.capacities = CapacityModel(context, self.registry, self.requests, minimum_connections)
        self.loads = LoadAccounting(context, self.requests)
        self.slow_start = SlowStartBudget(context, self.registry, self.capacities, self.loads, self.requests)


@dataclass(slots=True, frozen=True, kw_only=True)
class Strategies:
    """The replacements of one Balancer."""

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
