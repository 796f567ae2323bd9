"""The slow start budget under the sum of what many gateways send, which can't see each other's requests.

Seeded decision modules with simulated clients, without sockets. Within any window of `slow_start_window_ms`,
an endpoint in slow start may be sent N connections plus a tolerance for chance (2 x root N + 2). N is
`slow_start_load_multiple` times the connections that fill the endpoint in that time at its present capacity.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from math import sqrt
from random import Random

import pytest

from puffindeck.interface import (
    EndpointAttached,
    EndpointDetached,
    Fail,
    ListUpdateKind,
    Outcome,
    Reject,
    Send,
    Settings,
)
from tests.support.gateway import SETTINGS, Gateway, entry, list_update

FAST_START = replace(
    SETTINGS,
    slow_start_ms=9000.0,
    slow_start_initial_fraction=0.31,
    slow_start_load_multiple=3.0,
    slow_start_window_ms=1000.0,
    max_attempts=3,
    max_retry_after_ms=1500.0,
)
# The initial capacity is very low.
LONG_START = replace(
    FAST_START, slow_start_ms=24000.0, slow_start_initial_fraction=0.13, slow_start_load_multiple=4.0
)
# Number of endpoints, connections of a full endpoint, and duration of a connection.
ENDPOINTS, FULL_CONNECTIONS, CONNECTION_MS = 16, 30, 30000.0
INITIAL_LOAD = 0.35  # load of the endpoints at the start, as a part of their full load
STEP_MS = 5.0


@dataclass
class ClientSimulation:
    """Gateways, and clients that arrive at random gateways."""

    gateway_count: int
    settings: Settings
    seed: int
    group_count: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.gateway_settings = replace(self.settings, gateways=self.gateway_count)
        self.gateways = [
            Gateway(self.gateway_settings, ENDPOINTS, self.seed * 1000 + i) for i in range(self.gateway_count)
        ]
        self.last_request = 0
        self.groups = [self.random.getrandbits(60) for _ in range(self.group_count)]
        self.placements: dict[int, tuple[int, int]] = {}  # gateway and endpoint, by request
        for _ in range(int(ENDPOINTS * FULL_CONNECTIONS * INITIAL_LOAD)):
            self.last_request += 1
            number = self.random.randrange(self.gateway_count)
            self.placements[self.last_request] = (
                number,
                self.gateways[number].connect(self.last_request, **self.next_client()),
            )
        for gateway in self.gateways:
            gateway.advance(20000)  # long enough to accrue all credit that can accrue
        self.started_ms = self.gateways[0].now

    def next_client(self) -> dict[str, int]:
        """Return the next client's key, and its group if there are any groups."""
        group = self.random.choice(self.groups) if self.groups else 0
        return {"key": self.random.getrandbits(60), "group": group}

    def restart(self, restarted_count: int, restarts_gateways: bool) -> list[float]:
        """Restart this many endpoints, and all gateways if `restarts_gateways`.

        Returns the times at which the clients of closed connections reconnect.
        """
        restarted = set(range(1, restarted_count + 1))
        closed = [
            n for n, (_, endpoint) in self.placements.items() if restarts_gateways or endpoint in restarted
        ]
        entries = [
            entry(i, started=self.started_ms if i in restarted else 0.0) for i in range(1, ENDPOINTS + 1)
        ]
        if restarts_gateways:
            self.gateways = [
                Gateway(self.gateway_settings, 0, self.seed * 777 + i) for i in range(self.gateway_count)
            ]
            for gateway in self.gateways:
                gateway.now = self.started_ms
        for gateway in self.gateways:
            gateway.handle_events(list_update(*entries, kind=ListUpdateKind.FULL, version=2))
        for n in () if restarts_gateways else closed:
            number, _ = self.placements[n]
            self.gateways[number].end_attempt(n, Outcome.RESET, final=True)
        return [self.started_ms + 1000 * self.random.random() for _ in closed]

    def run(self, arrivals: list[float], rate: float) -> list[tuple[float, int]]:
        """Simulate nine seconds of clients, and return the time and endpoint of each send.

        New clients are added to `arrivals` at `rate` times the usual rate. Rejected clients retry.
        """
        sent, now, usual = [], self.started_ms, ENDPOINTS * FULL_CONNECTIONS * INITIAL_LOAD / CONNECTION_MS
        while now < self.started_ms + 9000:
            now += self.random.expovariate(rate * usual)
            arrivals.append(now)
        arrivals.sort()
        now = self.started_ms
        while now < self.started_ms + 9000:
            now += STEP_MS
            requests: dict[int, list[int]] = {}
            while arrivals and arrivals[0] <= now:
                heappop(arrivals)
                self.last_request += 1
                requests.setdefault(self.random.randrange(self.gateway_count), []).append(self.last_request)
            for i, gateway in enumerate(self.gateways):
                before = len(gateway.actions)
                gateway.advance(now - gateway.now)
                for n in requests.get(i, ()):
                    gateway.submit(n, **self.next_client())
                for action in gateway.actions[before:]:
                    if isinstance(action, Send):
                        sent.append((now, action.endpoint))
                        gateway.establish(action.request)
                    elif isinstance(action, Reject | Fail):
                        heappush(arrivals, now + 100 + 900 * self.random.random())
        return sent

    def budget(self, at_ms: float) -> float:
        """Return the most connections for an endpoint in slow start, in a window that begins at this time."""
        s = self.settings
        warmth = (
            s.slow_start_initial_fraction
            + (1 - s.slow_start_initial_fraction) * (at_ms - self.started_ms) / s.slow_start_ms
        )
        n = s.slow_start_load_multiple * warmth * FULL_CONNECTIONS * s.slow_start_window_ms / s.slow_start_ms
        return n + 2 * sqrt(n) + 2


# Settings, restarted endpoints, whether the gateways restart too, arrival rate, and number of groups.
SCENARIOS = {
    "few clients": (FAST_START, 5, False, 0.2, 0),
    "usual clients": (FAST_START, 5, False, 1.0, 0),
    "many clients": (FAST_START, 5, False, 4.0, 0),
    "endpoints with a very low initial capacity": (LONG_START, 5, False, 1.0, 0),
    "all endpoints and all gateways restarted": (FAST_START, ENDPOINTS, True, 1.0, 0),
    "the same, and all clients of two groups": (FAST_START, ENDPOINTS, True, 1.0, 2),
}


def check_budget(simulation: ClientSimulation, sent: list[tuple[float, int]], endpoints: range) -> int:
    """Check every window of each endpoint against the budget, and return the number of sends to them."""
    placed = 0
    for endpoint in endpoints:
        times = [at_ms for at_ms, target in sent if target == endpoint]
        placed += len(times)
        first = 0
        for last, at_ms in enumerate(times):
            while times[first] < at_ms - simulation.gateway_settings.slow_start_window_ms:
                first += 1
            assert last - first + 1 <= simulation.budget(times[first]), (
                simulation.seed,
                endpoint,
                at_ms - simulation.started_ms,
            )
    return placed


@pytest.mark.parametrize("gateways", [4, 20, 30])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_sends_of_all_gateways_to_an_endpoint_in_slow_start_stay_within_its_budget(
    gateways: int, scenario: str
) -> None:
    settings, restarted_count, restarts_gateways, rate, groups = SCENARIOS[scenario]
    placed = 0
    for seed in (1, 2, 3, 4):
        simulation = ClientSimulation(gateways, settings, seed, groups)
        sent = simulation.run(simulation.restart(restarted_count, restarts_gateways), rate)
        placed += check_budget(simulation, sent, range(1, restarted_count + 1))
    assert placed > 0  # endpoints in slow start are limited, but they are not left out


@pytest.mark.parametrize("gateways", [4, 20, 30])
def test_endpoint_reattached_at_all_gateways_at_once_stays_within_its_budget(gateways: int) -> None:
    for seed in (1, 2, 3, 4):
        simulation = ClientSimulation(gateways, FAST_START, seed)
        for gateway in simulation.gateways:
            gateway.handle_events(EndpointDetached(1))
            gateway.advance(5000)
            gateway.handle_events(EndpointAttached(1))
        simulation.started_ms = simulation.gateways[0].now
        sent = simulation.run([], rate=4.0)
        assert check_budget(simulation, sent, range(1, 2)) > 0
        assert min(at_ms for at_ms, endpoint in sent if endpoint == 1) < simulation.started_ms + 5000
