"""Test helpers: settings, events, a gateway with a simulated clock, and a checker of the rules on actions.

The four rules are:

- A request gets one final answer, by its deadline.
- A draining or detached endpoint gets no requests.
- A request is not sent again if a second run could take effect twice.
- An endpoint in slow start gets no more than its budget.

The checker knows only the events that it has delivered and the actions that were returned. It simulates
random orders of events, but no endpoints.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from puffindeck.interface import (
    NOT_PROCESSED,
    Action,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    ClassSettings,
    ClientDisconnected,
    Effect,
    EndpointAttached,
    EndpointDetached,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    Event,
    Fail,
    LatencyReported,
    ListUpdateKind,
    LoadReported,
    Migrate,
    Outcome,
    Reject,
    RequestArrived,
    ScheduleTimer,
    Scope,
    Send,
    Settings,
    TimerFired,
)
from puffindeck.policy import Balancer

MAX_FULL_LOAD_MULTIPLE = 3.75  # most connections of an endpoint at capacity, as a multiple of the mean
SETTINGS = Settings(
    classes=(ClassSettings(latency_objective_ms=300, deadline_ms=1200, message_latency_objective_ms=60),),
    gateways=2,
    zone=0,
    max_attempts=4,
    drain_grace_ms=500,
    answer_slack_ms=8,
    slow_start_initial_fraction=0.2,
    slow_start_ms=10000,
    slow_start_load_multiple=3,
    slow_start_window_ms=2000,
    period_ms=5,
)


def entry(
    endpoint: int,
    state: EndpointStatus = EndpointStatus.READY,
    *,
    zone: int = 0,
    cell: int = 0,
    started: float = 0,
) -> EndpointEntry:
    """Return an entry of the endpoint list."""
    return EndpointEntry(endpoint, zone, 0, cell, state, 1.0, started)


def list_update(
    *entries: EndpointEntry, kind: ListUpdateKind = ListUpdateKind.FULL, version: int = 1
) -> EndpointListUpdated:
    """Return an event with an endpoint list or changes to the list."""
    return EndpointListUpdated(kind, version, list(entries))


def request_arrived(
    request: int, *, group: int = 0, key: int = 0, remaining_ms: float = 1200, cls: int = 0
) -> RequestArrived:
    """Return the event of a new request."""
    return RequestArrived(request, cls, 0, key, remaining_ms, 0.0, group)


def sends(actions: list[Action]) -> list[Send]:
    """Return the `Send` actions among these."""
    return [a for a in actions if isinstance(a, Send)]


class Gateway:
    """A balancer with a simulated clock, which fires the timers that the balancer schedules."""

    def __init__(
        self, settings: Settings = SETTINGS, endpoints: int = 6, seed: int = 1, balancer: Any = None
    ) -> None:
        self.balancer = balancer or Balancer(settings, seed)
        self.now = 1000.0
        self.pending_timers: list[tuple[float, int]] = []
        self.actions: list[Action] = []
        self.endpoint_of: dict[int, int] = {}  # endpoint of each request's latest attempt
        self.attempt_counts: dict[int, int] = {}
        if endpoints:
            self.handle_events(list_update(*(entry(i) for i in range(1, endpoints + 1))))

    def handle_events(self, *events: Event) -> list[Action]:
        """Deliver events to the balancer, and return its actions."""
        actions = self.balancer.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, ScheduleTimer):
                self.pending_timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, Send):
                self.endpoint_of[action.request] = action.endpoint
                self.attempt_counts[action.request] = self.attempt_counts.get(action.request, 0) + 1
        self.actions += actions
        return actions

    def advance(self, ms: float) -> list[Action]:
        """Advance the clock, and return the actions of the timers that have fired meanwhile."""
        until, previous_actions = self.now + ms, len(self.actions)
        while due := [timer for timer in self.pending_timers if timer[0] <= until]:
            first = min(due)
            self.pending_timers.remove(first)
            self.now = max(self.now, first[0])
            self.handle_events(TimerFired(first[1]))
        self.now = until
        return self.actions[previous_actions:]

    def submit(self, request: int, *, group: int = 0, key: int = 0, cls: int = 0) -> int | None:
        """Deliver a new request, and return the endpoint that it was sent to."""
        self.handle_events(request_arrived(request, group=group, key=key, cls=cls))
        return self.endpoint_of.get(request)

    def establish(self, request: int, elapsed_ms: float = 20.0) -> None:
        """Report that a request's attempt was established."""
        self.handle_events(
            AttemptEstablished(
                request, self.endpoint_of[request], elapsed_ms, self.attempt_counts[request] - 1
            )
        )

    def connect(self, request: int, *, group: int = 0, key: int = 0, load: float = 0.0) -> int:
        """Establish a connection for a new request, report its load, and return its endpoint."""
        endpoint = self.submit(request, group=group, key=key)
        assert endpoint is not None
        self.establish(request)
        if load:
            self.handle_events(LoadReported(request, endpoint, load))
        return endpoint

    def end_attempt(
        self, request: int, outcome: Outcome, *, final: bool = False, elapsed_ms: float = 50.0
    ) -> list[Action]:
        """Report that a request's attempt or connection has ended, and return the actions."""
        return self.handle_events(
            AttemptEnded(
                request,
                outcome,
                self.endpoint_of[request],
                self.attempt_counts[request] - 1,
                final,
                elapsed_ms,
            )
        )

    def report_latency(self, endpoint: int, ms: float) -> list[Action]:
        """Report an endpoint's message latency, and return the actions."""
        request = next(iter(self.balancer.endpoints[endpoint].connections), 0)
        return self.handle_events(LatencyReported(request, endpoint, ms))


@dataclass
class Attempt:
    """An attempt that the balancer has sent."""

    endpoint: int
    sent: float
    until: float
    outcome: Outcome | None = None
    cancelled: bool = False


@dataclass
class RequestRecord:
    """What the checker knows about a request."""

    cls: ClassSettings
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # whether the request has ended, in whatever way
    established: bool = False

    @property
    def pending(self) -> Attempt | None:
        """The attempt that has not ended yet, if any."""
        return self.attempts[-1] if self.attempts and self.attempts[-1].outcome is None else None


class RuleChecker:
    """Delivers random valid orders of events to a balancer, and checks its actions against the four rules."""

    def __init__(self, settings: Settings, random: Random, balancer: Any = None) -> None:
        self.settings, self.random = settings, random
        self.balancer = balancer or Balancer(settings, random.randrange(1 << 32))
        self.now = 1000.0
        self.records: dict[int, RequestRecord] = {}
        self.timers: list[tuple[float, int]] = []
        self.endpoints: dict[int, EndpointEntry] = {}
        self.unready_since: dict[int, float] = {}  # when the list last changed an endpoint to not ready
        self.detached_since: dict[int, float] = {}  # when an operator detached an endpoint
        self.sends: dict[int, list[float]] = {}
        self.connections, self.connections_at = 0.0, self.now
        self.next_id = 1
        self.version = 1
        for i in range(1, 6):
            self.endpoints[i] = entry(i, zone=i % 2, cell=i % 3)
        self.deliver([list_update(*self.endpoints.values(), kind=ListUpdateKind.CACHED)])

    def deliver(self, events: list[Event]) -> None:
        """Deliver events to the balancer, and check its actions."""
        for action in self.balancer.handle(self.now, events):
            self.check(action)

    def check(self, action: Action) -> None:
        """Check an action against the rules, and record it."""
        if isinstance(action, ScheduleTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now + action.delay_ms, action.token))
        elif isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, (Reject, Fail)):
            record = self.records[action.request]
            assert not record.answered, "the request has a second final answer"
            assert self.now <= record.deadline + self.settings.answer_slack_ms, "answered after the deadline"
            if isinstance(action, Reject):
                self.check_rejection(record)
            record.answered = True
        elif isinstance(action, Cancel):
            record = self.records[action.request]
            record.attempts[action.attempt].cancelled = True
        elif isinstance(action, Migrate):
            record = self.records[action.request]
            assert record.established or record.answered
            record.answered = True

    @staticmethod
    def may_have_run(record: RequestRecord) -> list[Attempt]:
        """Return the attempts that an endpoint may have processed."""
        return [a for a in record.attempts if a.outcome is None or a.outcome not in NOT_PROCESSED]

    def check_rejection(self, record: RequestRecord) -> None:
        """Check that a retry of a rejected request is safe."""
        keyed_to_some = record.cls.effect == Effect.IDEMPOTENCY_KEY and record.cls.scope != Scope.ALL
        if record.cls.effect == Effect.NOT_IDEMPOTENT or keyed_to_some:
            assert not self.may_have_run(record), "rejected although it may have been processed"

    def check_send(self, action: Send) -> None:
        """Check that a request may be sent to an endpoint, and record the attempt."""
        record = self.records[action.request]
        assert not record.answered, "sent after it has ended"
        assert record.pending is None, "two attempts pending at once"
        assert len(record.attempts) < self.settings.max_attempts
        endpoint = self.endpoints[action.endpoint]
        assert action.endpoint not in self.detached_since, "sent to a detached endpoint"
        if endpoint.state != EndpointStatus.READY:
            grace_ends = self.unready_since[action.endpoint] + self.settings.drain_grace_ms
            assert self.now <= grace_ends, "sent to a drained endpoint"
        ran = self.may_have_run(record)
        if ran and record.cls.effect == Effect.NOT_IDEMPOTENT:
            raise AssertionError("a request that is not idempotent was retried")
        if ran and record.cls.effect == Effect.IDEMPOTENCY_KEY:
            first = self.endpoints[ran[0].endpoint]
            assert self.now <= ran[0].sent + record.cls.window_ms, "retried after its idempotency window"
            assert record.cls.scope != Scope.ZONE or endpoint.zone == first.zone
            assert record.cls.scope != Scope.CELL or endpoint.cell == first.cell
        if endpoint.started_ms > 0 and self.now - endpoint.started_ms < self.settings.slow_start_ms:
            self.check_slow_start(action.endpoint, endpoint.started_ms)
        until = min(record.deadline, self.now + action.timeout_ms)
        record.attempts.append(Attempt(action.endpoint, self.now, until))

    def recent_connections(self) -> float:
        """Return the number of requests and connections that the endpoints have now or had recently."""
        connections = sum(not c.answered or c.pending is not None for c in self.records.values())
        decay = math.exp((self.connections_at - self.now) / self.settings.slow_start_ms)
        self.connections, self.connections_at = max(float(connections), self.connections * decay), self.now
        return self.connections

    def check_slow_start(self, endpoint: int, started: float) -> None:
        """Check that an endpoint in slow start fills up no faster than its capacity grows."""
        sent_ms = self.sends.setdefault(endpoint, [])
        sent_ms.append(self.now)
        s = self.settings
        recent = [t for t in sent_ms if t > self.now - s.slow_start_window_ms and t >= started]
        warmth = (
            s.slow_start_initial_fraction
            + (1 - s.slow_start_initial_fraction) * (self.now - started) / s.slow_start_ms
        )
        connections = self.recent_connections()
        ready = sum(e.state == EndpointStatus.READY for e in self.endpoints.values())
        most = (
            MAX_FULL_LOAD_MULTIPLE
            * s.slow_start_load_multiple
            * warmth
            * max(1.0, connections / max(1, ready))
            * s.slow_start_window_ms
            / s.slow_start_ms
        )
        assert len(recent) <= most + 3, (
            f"an endpoint in slow start got {len(recent)} requests, at most {most:.1f} are allowed"
        )

    def step(self) -> None:
        """Advance the clock by 5 ms, and deliver due timers and random events."""
        self.now += 5
        random, events, disconnected = self.random, list[Event](), list[int]()
        if random.random() < 0.01:
            self.operator_action()
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        events += [TimerFired(token) for _, token in due]
        for request, record in self.records.items():
            events += self.attempt_events(request, record)
        if random.random() < 0.3:
            events.append(self.arrival())
        if random.random() < 0.02:
            events += self.list_change()
        if random.random() < 0.02:
            endpoint = random.choice(list(self.endpoints))
            events.append(LatencyReported(random.randrange(1, 50), endpoint, random.uniform(0, 500)))
        if random.random() < 0.03 and self.records:
            request = random.choice(list(self.records))
            events.append(LoadReported(request, 1, random.uniform(0, 3000)))
        if random.random() < 0.02 and self.records:
            request = random.choice(list(self.records))
            if not self.records[request].established:
                disconnected.append(request)
                events.append(ClientDisconnected(request))
        self.recent_connections()
        if events:
            self.deliver(events)
        for request in disconnected:  # a disconnect takes effect for the checks after its batch
            self.records[request].answered = True
        self.check_deadlines()

    def operator_action(self) -> None:
        """Detach an endpoint, or reattach a detached one, which was restarted meanwhile."""
        endpoint = self.random.choice(list(self.endpoints))
        since = self.detached_since.pop(endpoint, None)
        if since is None:
            self.detached_since[endpoint] = self.now
            self.deliver([EndpointDetached(endpoint)])
            return
        if self.endpoints[endpoint].started_ms < since:
            self.endpoints[endpoint] = replace(self.endpoints[endpoint], started_ms=self.now)
        self.deliver([EndpointAttached(endpoint)])

    def attempt_events(self, request: int, record: RequestRecord) -> list[Event]:
        """Return the next event of a request's pending attempt, if it is due or chosen at random."""
        attempt, number, random = record.pending, len(record.attempts) - 1, self.random
        if attempt is None:
            return []
        elapsed_ms = self.now - attempt.sent
        outcome: Outcome | None = None
        if attempt.cancelled:
            outcome = Outcome.CANCELLED
        elif record.established:
            if record.answered or random.random() < 0.005:
                outcome = random.choice([Outcome.OK, Outcome.RESET, Outcome.CANCELLED])
        elif self.now >= attempt.until:
            outcome = Outcome.TIMEOUT
        elif random.random() < 0.1 and not record.answered:
            if random.random() < 0.5:
                record.established = True
                return [AttemptEstablished(request, attempt.endpoint, elapsed_ms, number)]
            outcome = random.choice(
                [Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MOOT]
            )
        if outcome is None:
            return []
        attempt.outcome = outcome
        if record.established:
            record.answered = True
        return [AttemptEnded(request, outcome, attempt.endpoint, number, record.answered, elapsed_ms)]

    def arrival(self) -> Event:
        """Return the event of a new random request, and record the request."""
        cls = self.random.randrange(len(self.settings.classes))
        rules = self.settings.classes[cls]
        time_left_ms = rules.deadline_ms * self.random.choice([0.02, 0.3, 1.0])
        request, self.next_id = self.next_id, self.next_id + 1
        self.records[request] = RequestRecord(rules, self.now + time_left_ms)
        group = self.random.randrange(4)
        return replace(
            request_arrived(request, group=group, remaining_ms=time_left_ms, cls=cls),
            mid_flow=self.random.random() < 0.1,
        )

    def list_change(self) -> list[Event]:
        """Change the state of a random endpoint, and return the event of that change."""
        random, self.version = self.random, self.version + 1
        endpoint = random.choice([*self.endpoints, max(self.endpoints) + 1])
        old = self.endpoints.get(endpoint, entry(endpoint, zone=endpoint % 2, cell=endpoint % 3))
        state = random.choice(
            [EndpointStatus.READY, EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.GONE]
        )
        new = replace(old, state=state)
        if state == EndpointStatus.READY and (
            old.state != EndpointStatus.READY or endpoint not in self.endpoints
        ):
            new = replace(new, started_ms=self.now)
        if state != EndpointStatus.READY and old.state == EndpointStatus.READY:
            self.unready_since[endpoint] = self.now
        self.unready_since.setdefault(endpoint, self.now)
        self.endpoints[endpoint] = new
        return [list_update(new, kind=ListUpdateKind.CHANGES, version=self.version)]

    def check_deadlines(self) -> None:
        """Check that no request is without an answer after its deadline."""
        for request, record in self.records.items():
            if not record.answered and not record.established:
                assert self.now <= record.deadline + self.settings.answer_slack_ms, (
                    f"request {request} has no answer"
                )
