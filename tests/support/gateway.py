"""Helpers: settings, events, and a checker of a balancer's actions against the four rules.

The checker knows only the events that it delivered and the actions that it got back. It simulates orders of
events, not servers.
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

FULL_LOAD_MULTIPLE = 3.75  # of the mean of connections: what an endpoint at capacity may get at most
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
    return EndpointEntry(endpoint, zone, 0, cell, state, 1.0, started)


def list_update(
    *entries: EndpointEntry, kind: ListUpdateKind = ListUpdateKind.FULL, version: int = 1
) -> EndpointListUpdated:
    return EndpointListUpdated(kind, version, list(entries))


def request_arrived(
    request: int, *, group: int = 0, key: int = 0, remaining_ms: float = 1200, cls: int = 0
) -> RequestArrived:
    return RequestArrived(request, cls, 0, key, remaining_ms, 0.0, group)


def sends(actions: list[Action]) -> list[Send]:
    return [a for a in actions if isinstance(a, Send)]


class Gateway:
    """A balancer with its clock: timers that it asks for are handed back when they are due."""

    def __init__(
        self, settings: Settings = SETTINGS, endpoints: int = 6, seed: int = 1, balancer: Any = None
    ) -> None:
        self.balancer = balancer or Balancer(settings, seed)
        self.now = 1000.0
        self.pending_timers: list[tuple[float, int]] = []
        self.actions: list[Action] = []
        self.endpoint_of: dict[int, int] = {}  # request -> server of its last send
        self.attempt_counts: dict[int, int] = {}
        if endpoints:
            self.handle_events(list_update(*(entry(i) for i in range(1, endpoints + 1))))

    def handle_events(self, *events: Event) -> list[Action]:
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
        """Let time pass; what was done meanwhile."""
        until, done = self.now + ms, len(self.actions)
        while due := [w for w in self.pending_timers if w[0] <= until]:
            first = min(due)
            self.pending_timers.remove(first)
            self.now = max(self.now, first[0])
            self.handle_events(TimerFired(first[1]))
        self.now = until
        return self.actions[done:]

    def submit(self, request: int, *, group: int = 0, key: int = 0, cls: int = 0) -> int | None:
        """A new request; the server it was sent to."""
        self.handle_events(request_arrived(request, group=group, key=key, cls=cls))
        return self.endpoint_of.get(request)

    def establish(self, request: int, took: float = 20.0) -> None:
        self.handle_events(
            AttemptEstablished(request, self.endpoint_of[request], took, self.attempt_counts[request] - 1)
        )

    def connect(self, request: int, *, group: int = 0, key: int = 0, load: float = 0.0) -> int:
        """A connection that stands, with its load told."""
        endpoint = self.submit(request, group=group, key=key)
        assert endpoint is not None
        self.establish(request)
        if load:
            self.handle_events(LoadReported(request, endpoint, load))
        return endpoint

    def end_attempt(
        self, request: int, outcome: Outcome, *, final: bool = False, took: float = 50.0
    ) -> list[Action]:
        return self.handle_events(
            AttemptEnded(
                request, outcome, self.endpoint_of[request], self.attempt_counts[request] - 1, final, took
            )
        )

    def report_latency(self, endpoint: int, ms: float) -> list[Action]:
        held = next(iter(self.balancer.endpoints[endpoint].connections), 0)
        return self.handle_events(LatencyReported(held, endpoint, ms))


@dataclass
class Attempt:
    endpoint: int
    sent: float
    until: float
    outcome: Outcome | None = None
    cancelled: bool = False


@dataclass
class RequestRecord:
    cls: ClassSettings
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False  # finally, in whatever way
    established: bool = False

    @property
    def pending(self) -> Attempt | None:
        return self.attempts[-1] if self.attempts and self.attempts[-1].outcome is None else None


class RuleChecker:
    """Random legal orders of events against one balancer, and the four rules checked on all it does."""

    def __init__(self, settings: Settings, random: Random, balancer: Any = None) -> None:
        self.settings, self.random = settings, random
        self.balancer = balancer or Balancer(settings, random.randrange(1 << 32))
        self.now = 1000.0
        self.records: dict[int, RequestRecord] = {}
        self.timers: list[tuple[float, int]] = []
        self.endpoints: dict[int, EndpointEntry] = {}
        self.unready_since: dict[int, float] = {}  # when the list last named an endpoint as not ready
        self.detached_since: dict[int, float] = {}  # detached by an operator, since when
        self.sends: dict[int, list[float]] = {}
        self.connections, self.connections_at = 0.0, self.now
        self.next_id = 1
        self.version = 1
        for i in range(1, 6):
            self.endpoints[i] = entry(i, zone=i % 2, cell=i % 3)
        self.deliver([list_update(*self.endpoints.values(), kind=ListUpdateKind.CACHED)])

    def deliver(self, events: list[Event]) -> None:
        for action in self.balancer.handle(self.now, events):
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, ScheduleTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now + action.delay_ms, action.token))
        elif isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, (Reject, Fail)):
            record = self.records[action.request]
            assert not record.answered, "a second final answer"
            assert self.now <= record.deadline + self.settings.answer_slack_ms, "answered too late"
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
        return [a for a in record.attempts if a.outcome is None or a.outcome not in NOT_PROCESSED]

    def check_rejection(self, record: RequestRecord) -> None:
        keyed_to_some = record.cls.effect == Effect.IDEMPOTENCY_KEY and record.cls.scope != Scope.ALL
        if record.cls.effect == Effect.NOT_IDEMPOTENT or keyed_to_some:
            assert not self.may_have_run(record), "rejected though it may have run"

    def check_send(self, action: Send) -> None:
        record = self.records[action.request]
        assert not record.answered, "sent after its end"
        assert record.pending is None, "two attempts out at once"
        assert len(record.attempts) < self.settings.max_attempts
        endpoint = self.endpoints[action.endpoint]
        assert action.endpoint not in self.detached_since, "sent to a detached endpoint"
        if endpoint.state != EndpointStatus.READY:
            grace_ends = self.unready_since[action.endpoint] + self.settings.drain_grace_ms
            assert self.now <= grace_ends, "sent to a drained server"
        ran = self.may_have_run(record)
        if ran and record.cls.effect == Effect.NOT_IDEMPOTENT:
            raise AssertionError("an unsafe request was tried again")
        if ran and record.cls.effect == Effect.IDEMPOTENCY_KEY:
            first = self.endpoints[ran[0].endpoint]
            assert self.now <= ran[0].sent + record.cls.window_ms, "sent again after its window"
            assert record.cls.scope != Scope.ZONE or endpoint.zone == first.zone
            assert record.cls.scope != Scope.CELL or endpoint.cell == first.cell
        if endpoint.started_ms > 0 and self.now - endpoint.started_ms < self.settings.slow_start_ms:
            self.check_slow_start(action.endpoint, endpoint.started_ms)
        until = min(record.deadline, self.now + action.timeout_ms)
        record.attempts.append(Attempt(action.endpoint, self.now, until))

    def recent_connections(self) -> float:
        """Requests and connections of this gateway, now or recently: what endpoints have shown to bear."""
        connections = sum(not c.answered or c.pending is not None for c in self.records.values())
        fade = math.exp((self.connections_at - self.now) / self.settings.slow_start_ms)
        self.connections, self.connections_at = max(float(connections), self.connections * fade), self.now
        return self.connections

    def check_slow_start(self, endpoint: int, started: float) -> None:
        """An endpoint that bears what this gateway's endpoints have fills no faster than it warms up."""
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
            FULL_LOAD_MULTIPLE
            * s.slow_start_load_multiple
            * warmth
            * max(1.0, connections / max(1, ready))
            * s.slow_start_window_ms
            / s.slow_start_ms
        )
        assert len(recent) <= most + 3, (
            f"an endpoint in slow start got too much: {len(recent)} sends, at most {most:.1f}"
        )

    def step(self) -> None:
        """Five milliseconds: what is due, and perhaps something that happens."""
        self.now += 5
        random, events, left = self.random, list[Event](), list[int]()
        if random.random() < 0.01:
            self.operator_action()
        due = [w for w in self.timers if w[0] <= self.now]
        self.timers = [w for w in self.timers if w[0] > self.now]
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
                left.append(request)
                events.append(ClientDisconnected(request))
        self.recent_connections()
        if events:
            self.deliver(events)
        for request in left:  # what this batch says binds from the next on
            self.records[request].answered = True
        self.check_deadlines()

    def operator_action(self) -> None:
        """Detach an endpoint, or attach one that was restarted meanwhile."""
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
        attempt, number, random = record.pending, len(record.attempts) - 1, self.random
        if attempt is None:
            return []
        took = self.now - attempt.sent
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
                return [AttemptEstablished(request, attempt.endpoint, took, number)]
            outcome = random.choice(
                [Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.MOOT]
            )
        if outcome is None:
            return []
        attempt.outcome = outcome
        if record.established:
            record.answered = True
        return [AttemptEnded(request, outcome, attempt.endpoint, number, record.answered, took)]

    def arrival(self) -> Event:
        cls = self.random.randrange(len(self.settings.classes))
        rules = self.settings.classes[cls]
        left = rules.deadline_ms * self.random.choice([0.02, 0.3, 1.0])
        request, self.next_id = self.next_id, self.next_id + 1
        self.records[request] = RequestRecord(rules, self.now + left)
        group = self.random.randrange(4)
        return replace(
            request_arrived(request, group=group, remaining_ms=left, cls=cls),
            mid_flow=self.random.random() < 0.1,
        )

    def list_change(self) -> list[Event]:
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
        for request, record in self.records.items():
            if not record.answered and not record.established:
                assert self.now <= record.deadline + self.settings.answer_slack_ms, f"{request} has no answer"
