"""Simulates many gateways in virtual time, and endpoints that set up all connections at one shared store.

The store processes one set-up at a time. It doesn't know which attempts were cancelled, so that set-ups for
cancelled attempts delay all others. An endpoint can also be unresponsive: it accepts attempts and never
answers.
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
    """A client that sends a request, and retries some time after each failure until it is served."""

    def __init__(self, gateway: int, key: int, arrived_ms: float) -> None:
        self.gateway = gateway
        self.key = key
        self.arrived_ms = arrived_ms
        self.established_ms: float | None = None
        self.requests = 0


class Attempt:
    """An attempt of a request."""

    def __init__(self, client: Client, endpoint: int, number: int, sent_ms: float) -> None:
        self.client = client
        self.endpoint = endpoint
        self.number = number
        self.sent_ms = sent_ms
        self.has_ended = False  # established attempts count as ended, too


class SharedStoreSimulation:
    """Gateways, endpoints, the store and clients."""

    def __init__(
        self,
        settings: Settings,
        gateways: int,
        endpoints: int,
        setup_ms: float,
        seed: int = 1,
        unresponsive: int = 0,
    ) -> None:
        """Create the simulation. `unresponsive` is the number of the unresponsive endpoint; 0: none."""
        self.settings = settings
        self.setup_ms = setup_ms
        self.unresponsive = unresponsive
        self.random = Random(seed)
        self.balancers = [Balancer(settings, self.random.randrange(1 << 32)) for _ in range(gateways)]
        self.time = VirtualTime()
        self.queue: deque[tuple[int, Attempt]] = deque()  # set-ups that wait for the store
        self.is_busy = False  # whether the store processes a set-up
        self.attempts = 0
        self.pending: list[dict[int, Attempt]] = [{} for _ in range(gateways)]
        self.attempt_counts: list[dict[int, int]] = [{} for _ in range(gateways)]
        self.client_of: dict[tuple[int, int], Client] = {}  # clients by gateway and request
        self.clients: list[Client] = []
        self._ids = count(1)
        for gateway in range(gateways):
            self.deliver(
                gateway,
                EndpointListUpdated(ListUpdateKind.FULL, 1, [entry(i) for i in range(1, endpoints + 1)]),
            )

    def run(self, until_ms: float) -> None:
        """Advance the virtual time."""
        self.time.run(until_ms)

    def add_client(self, arrival_ms: float, gateway: int, key: int) -> None:
        """Add a client that sends its first request at this time."""
        client = Client(gateway, key, arrival_ms)
        self.clients.append(client)
        self.time.schedule(arrival_ms, self.send_request, client)

    def send_request(self, client: Client) -> None:
        """Send a client's first request, or a retry."""
        client.requests += 1
        request = next(self._ids)
        self.client_of[client.gateway, request] = client
        remaining_ms = self.settings.classes[0].deadline_ms
        self.deliver(client.gateway, RequestArrived(request, 0, 0, client.key, remaining_ms, 0.0, 0))

    def deliver(self, gateway: int, event: Event) -> None:
        """Deliver an event to a gateway, and execute the actions that it returns."""
        for action in self.balancers[gateway].handle(self.time.now_ms, [event]):
            self.execute(gateway, action)

    def execute(self, gateway: int, action: Action) -> None:
        """Execute a gateway's action."""
        if isinstance(action, ScheduleTimer):
            self.time.schedule_after(action.delay_ms, self.deliver, gateway, TimerFired(action.token))
        elif isinstance(action, Send):
            assert action.request not in self.pending[gateway], "two attempts at once"
            number = self.attempt_counts[gateway].get(action.request, 0)
            self.attempt_counts[gateway][action.request] = number + 1
            attempt = Attempt(
                self.client_of[gateway, action.request], action.endpoint, number, self.time.now_ms
            )
            self.pending[gateway][action.request] = attempt
            self.attempts += 1
            self.time.schedule_after(
                action.timeout_ms, self.end_attempt, action.request, attempt, Outcome.TIMEOUT
            )
            if action.endpoint != self.unresponsive:
                self.queue.append((action.request, attempt))
                self.begin_setup()
        elif isinstance(action, Cancel):
            attempt = self.pending[gateway][action.request]
            self.time.schedule(self.time.now_ms, self.end_attempt, action.request, attempt, Outcome.CANCELLED)
        elif isinstance(action, (Reject, Fail)):
            client = self.client_of[gateway, action.request]
            self.time.schedule_after(self.random.uniform(500, 1500), self.send_request, client)
        assert not isinstance(action, Migrate)

    def end_attempt(self, request: int, attempt: Attempt, outcome: Outcome) -> None:
        """Report the end of an attempt that is still pending."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        gateway = attempt.client.gateway
        del self.pending[gateway][request]
        final, elapsed_ms = attempt.client.established_ms is not None, self.time.now_ms - attempt.sent_ms
        self.deliver(
            gateway, AttemptEnded(request, outcome, attempt.endpoint, attempt.number, final, elapsed_ms)
        )

    def begin_setup(self) -> None:
        """Have the store process the next set-up if it is idle."""
        if not self.is_busy and self.queue:
            self.is_busy = True
            self.time.schedule_after(self.setup_ms, self.finish_setup, *self.queue.popleft())

    def finish_setup(self, request: int, attempt: Attempt) -> None:
        """Establish the attempt of a finished set-up, unless the attempt has ended."""
        self.is_busy = False
        if not attempt.has_ended:
            attempt.has_ended = True
            client = attempt.client
            del self.pending[client.gateway][request]
            client.established_ms = self.time.now_ms
            elapsed_ms = self.time.now_ms - attempt.sent_ms
            self.deliver(
                client.gateway, AttemptEstablished(request, attempt.endpoint, elapsed_ms, attempt.number)
            )
        self.begin_setup()
