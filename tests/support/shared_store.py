"""Many gateways on virtual time, and stand-in hosts that all set connections up at one shared store.

The store takes one set-up after another and does not see who has given up: work for nobody holds up the rest.
A host can also be grey: it takes whatever comes and never answers.
"""

from __future__ import annotations

from collections import deque
from itertools import count
from random import Random

from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    EndpointListUpdated,
    Event,
    Fail,
    ListUpdateKind,
    Migrate,
    Outcome,
    Reject,
    RequestArrived,
    ScheduleTimer,
    Send,
    Settings,
    TimerFired,
)
from puffindeck.policy import Balancer
from puffindeck_testing.virtual_time import VirtualTime
from tests.support.gateway import entry


class Client:
    """One client: it asks until it is served, a while after each failure."""

    def __init__(self, gateway: int, key: int, arrived: float) -> None:
        self.gateway = gateway
        self.key = key
        self.arrived = arrived
        self.up: float | None = None
        self.asked = 0


class Attempt:
    """One attempt, from its send until it has ended."""

    def __init__(self, client: Client, endpoint: int, number: int, sent: float) -> None:
        self.client = client
        self.endpoint = endpoint
        self.number = number
        self.sent = sent
        self.over = False


class StoreWorld:
    """Gateways, hosts, the store, and clients."""

    def __init__(
        self, settings: Settings, gateways: int, hosts: int, setup_ms: float, seed: int = 1, grey: int = 0
    ) -> None:
        self.settings = settings
        self.setup_ms = setup_ms
        self.grey = grey
        self.random = Random(seed)
        self.balancers = [Balancer(settings, self.random.randrange(1 << 32)) for _ in range(gateways)]
        self.time = VirtualTime()
        self.queue: deque[tuple[int, Attempt]] = deque()  # what waits for the store
        self.busy = False
        self.attempts = 0
        self.pending: list[dict[int, Attempt]] = [{} for _ in range(gateways)]
        self.attempt_counts: list[dict[int, int]] = [{} for _ in range(gateways)]
        self.clients: dict[tuple[int, int], Client] = {}
        self.all: list[Client] = []
        self._ids = count(1)
        for gateway in range(gateways):
            self.deliver(
                gateway, EndpointListUpdated(ListUpdateKind.FULL, 1, [entry(i) for i in range(1, hosts + 1)])
            )

    def run(self, until: float) -> None:
        self.time.run(until)

    def come(self, when: float, gateway: int, key: int) -> None:
        """A client, from this moment on."""
        client = Client(gateway, key, when)
        self.all.append(client)
        self.time.schedule(when, self.ask, client)

    def ask(self, client: Client) -> None:
        client.asked += 1
        request = next(self._ids)
        self.clients[client.gateway, request] = client
        left = self.settings.classes[0].deadline_ms
        self.deliver(client.gateway, RequestArrived(request, 0, 0, client.key, left, 0.0, 0))

    def deliver(self, gateway: int, event: Event) -> None:
        for action in self.balancers[gateway].handle(self.time.now_ms, [event]):
            self.do(gateway, action)

    def do(self, gateway: int, action: Action) -> None:
        if isinstance(action, ScheduleTimer):
            self.time.schedule_after(action.delay_ms, self.deliver, gateway, TimerFired(action.token))
        elif isinstance(action, Send):
            assert action.request not in self.pending[gateway], "two attempts at once"
            number = self.attempt_counts[gateway].get(action.request, 0)
            self.attempt_counts[gateway][action.request] = number + 1
            attempt = Attempt(
                self.clients[gateway, action.request], action.endpoint, number, self.time.now_ms
            )
            self.pending[gateway][action.request] = attempt
            self.attempts += 1
            self.time.schedule_after(action.timeout_ms, self.end, action.request, attempt, Outcome.TIMEOUT)
            if action.endpoint != self.grey:
                self.queue.append((action.request, attempt))
                self.work()
        elif isinstance(action, Cancel):
            attempt = self.pending[gateway][action.request]
            self.time.schedule(self.time.now_ms, self.end, action.request, attempt, Outcome.CANCELLED)
        elif isinstance(action, (Reject, Fail)):
            client = self.clients[gateway, action.request]
            self.time.schedule_after(self.random.uniform(500, 1500), self.ask, client)
        assert not isinstance(action, Migrate)

    def end(self, request: int, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.over:
            return
        attempt.over = True
        gateway = attempt.client.gateway
        del self.pending[gateway][request]
        final, took = attempt.client.up is not None, self.time.now_ms - attempt.sent
        self.deliver(gateway, AttemptEnded(request, outcome, attempt.endpoint, attempt.number, final, took))

    def work(self) -> None:
        if not self.busy and self.queue:
            self.busy = True
            self.time.schedule_after(self.setup_ms, self.done, *self.queue.popleft())

    def done(self, request: int, attempt: Attempt) -> None:
        """Set up, be it for nobody."""
        self.busy = False
        if not attempt.over:
            attempt.over = True
            client = attempt.client
            del self.pending[client.gateway][request]
            client.up = self.time.now_ms
            took = self.time.now_ms - attempt.sent
            self.deliver(client.gateway, AttemptEstablished(request, attempt.endpoint, took, attempt.number))
        self.work()
