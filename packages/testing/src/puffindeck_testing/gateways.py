"""Simulated gateways that enforce shared quotas, on virtual time and over a network with seeded random faults.

The simulation counts the admitted requests by its own clock, independently of the gateways' counts and clocks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, NamedTuple

from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_quota import Charge, Limit, MembersChanged, Quota, QuotaSettings, Revoke, Tick

NAMES = ("e1", "e2", "e3", "e4", "e5")
WINDOW_MS = 10000
START_MS = 1_000_000.0
STEP_MS = 20.0
STEPS_PER_SECOND = 50
CLOCK_SKEW_MS = 100.0  # clock skew that the gateways' settings allow
DEADLINE_MS = 500  # deadline of each request, relative to its arrival
SERVICE_MS = 15  # maximum time until the server serves an admitted request
MIN_DELAY_MS = 1  # minimum delay of a message
DELAY_MS = 30  # maximum random addition to the delay of a message
# The random addition is multiplied by a random factor from 1 to 1 + DUPLICATE_DELAY_FACTOR * `duplication`.
DUPLICATE_DELAY_FACTOR = 20
SETTLE_S = 16  # time after which the gateways have their first permits
AFTER_WINDOW_START_MS = 200  # minimum time since the start of the window when `settle` returns
AFTER_WINDOW_START_MAX_MS = 250  # maximum of that time, exclusive


class InFlight(NamedTuple):
    """A message on the network. Messages that are due in the same step arrive in the order of these fields."""

    arrives_ms: float
    number: int
    sender: str
    receiver: str
    data: bytes


class TenantWindow(NamedTuple):
    """A tenant, and the number of a window by the simulation's clock."""

    tenant: str
    window: int


class Gateways:
    """The gateways, the network between them, and the counts of admitted requests.

    `loss` and `duplication` are the probabilities that a message is lost or sent twice. `factory` creates the quota
    of a gateway.
    """

    def __init__(
        self,
        limits: tuple[Limit, ...],
        seed: int = 1,
        names: tuple[str, ...] = NAMES,
        loss: float = 0.0,
        duplication: float = 0.0,
        factory: Callable[..., Any] = Quota,
    ) -> None:
        self.random = Random(seed)
        self.names = names
        self.limits = limits
        self.loss = loss
        self.duplication = duplication
        self.factory = factory
        self.now_ms = START_MS
        self.process_count = 0
        self.message_count = 0
        self.gateways: dict[str, Any] = {}
        self.cut_links: set[tuple[str, str]] = set()  # pairs of sender and receiver
        self.clock_skews_ms: dict[str, float] = {}
        self.paused: set[str] = set()
        self.in_flight: list[InFlight] = []
        self.admitted: Counter[TenantWindow] = Counter()
        self.admitted_by: Counter[str] = Counter()  # number of admitted requests by gateway
        self.rejected = 0
        self.revoked: list[Charge] = []
        self.reports: list[Report] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a new process of a gateway."""
        self.process_count += 1
        self.gateways[name] = self.factory(
            name,
            process_incarnation=self.process_count,
            voters=self.names,
            limits=self.limits,
            seed=self.process_count,
            settings=QuotaSettings(skew_ms=CLOCK_SKEW_MS),
        )

    def kill(self, name: str) -> None:
        """Kill a gateway's process; it sends no message before it ends."""
        del self.gateways[name]

    def split(self, *sides: set[str]) -> None:
        """Partition the network: cut every link between gateways of different sides, and restore all others."""
        self.cut_links = {
            (sender, receiver)
            for side in sides
            for other in sides
            if side is not other
            for sender in side
            for receiver in other
        }

    def clock_ms(self, name: str) -> float:
        """Return the time on a gateway's own clock."""
        return self.now_ms + self.clock_skews_ms.get(name, 0.0)

    def step(self, ms: float = STEP_MS) -> None:
        """Advance time, deliver the messages that are due, and tick every running gateway."""
        self.now_ms += ms
        self._deliver_due()
        for name, quota in list(self.gateways.items()):
            if name not in self.paused:
                events = [self._members_seen_by(name), Tick()]
                self.apply_actions(name, quota.handle(self.clock_ms(name), events))

    def apply_actions(self, name: str, actions: Sequence[object]) -> None:
        """Carry out the actions of a gateway's quota."""
        for action in actions:
            if isinstance(action, Revoke):
                self.revoked.append(action.charge)
            elif isinstance(action, Report):
                self.reports.append(action)
            elif isinstance(action, SendMessage):
                self._send(name, action)

    def request(self, name: str, tenant: str = "acme") -> bool:
        """Send a request to a gateway, and return whether the gateway admitted it.

        The server serves an admitted request up to 15 ms later; the request counts in the window of that time.
        """
        quota = self.gateways.get(name)
        if quota is None or name in self.paused:
            return False
        charge = quota.admit(tenant, self.clock_ms(name), self.clock_ms(name) + DEADLINE_MS)
        if not isinstance(charge, Charge):
            self.rejected += 1
            assert charge.retry_after_ms > 0
            return False
        served_after_ms = self.random.uniform(0, SERVICE_MS)
        quota.on_established(charge, self.clock_ms(name) + SERVICE_MS)
        window = int((self.now_ms + served_after_ms) // WINDOW_MS)
        self.admitted[TenantWindow(tenant, window)] += 1
        self.admitted_by[name] += 1
        return True

    def run(self, seconds: float, rates: dict[str, float], tenant: str = "acme") -> None:
        """Simulate a time span. `rates` are the requests per second at each gateway."""
        for _ in range(int(seconds * STEPS_PER_SECOND)):
            self.step()
            for name, rate in rates.items():
                for _ in range(self._request_count(rate)):
                    self.request(name, tenant)

    def settle(self) -> None:
        """Run without requests until the gateways have permits and a window has just started."""
        self.run(SETTLE_S, {})
        while not AFTER_WINDOW_START_MS <= self.now_ms % WINDOW_MS < AFTER_WINDOW_START_MAX_MS:
            self.step()

    @property
    def window(self) -> int:
        """The number of the current window by the simulation's clock."""
        return int(self.now_ms // WINDOW_MS)

    def admitted_in(self, window: int, tenant: str = "acme") -> int:
        """Return the number of a tenant's requests admitted in a window of the simulation's clock."""
        return self.admitted[TenantWindow(tenant, window)]

    def max_admitted(self) -> int:
        """Return the largest number of requests admitted for any tenant in any window."""
        return max(self.admitted.values(), default=0)

    def _request_count(self, rate: float) -> int:
        """Return the number of requests in one step. A fraction is rounded up with a probability equal to it."""
        whole = int(rate / STEPS_PER_SECOND)
        return whole + (self.random.random() < rate / STEPS_PER_SECOND % 1)

    def _deliver_due(self) -> None:
        due = sorted(message for message in self.in_flight if message.arrives_ms <= self.now_ms)
        self.in_flight = [message for message in self.in_flight if message.arrives_ms > self.now_ms]
        for message in due:
            if message.receiver in self.paused:
                self.in_flight.append(message._replace(arrives_ms=self.now_ms + 1, number=0))
            elif message.receiver in self.gateways:
                self._deliver(message)

    def _deliver(self, message: InFlight) -> None:
        receiver = message.receiver
        event = MessageReceived(message.sender, message.data)
        self.apply_actions(receiver, self.gateways[receiver].handle(self.clock_ms(receiver), [event]))

    def _members_seen_by(self, name: str) -> MembersChanged:
        regions = {other: "" for other in self.gateways if other != name and (other, name) not in self.cut_links}
        own_skew_ms = self.clock_skews_ms.get(name, 0.0)
        offsets_ms = sorted([0.0, *(self.clock_skews_ms.get(other, 0.0) - own_skew_ms for other in regions)])
        return MembersChanged(regions, -offsets_ms[len(offsets_ms) // 2])

    def _send(self, sender: str, message: SendMessage) -> None:
        if (sender, message.to) in self.cut_links or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < self.duplication)):
            self.message_count += 1
            delay_ms = MIN_DELAY_MS + DELAY_MS * self.random.random() * (
                1 + DUPLICATE_DELAY_FACTOR * self.duplication * self.random.random()
            )
            self.in_flight.append(
                InFlight(self.now_ms + delay_ms, self.message_count, sender, message.to, message.data)
            )
