"""Cold servers under the sum of what all gateways send: nobody tells them of each other, and the sum holds.

Seeded modules with clients round them, no sockets. A server that starts may be sent, in any stretch of the
time in which it falls, N connections and what chance excuses (2 x root N + 2); N is the settings' multiple of
what fills it over its warm-up at the capacity that it has by then.
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

COLD = replace(
    SETTINGS,
    slow_start_ms=9000.0,
    slow_start_initial_fraction=0.31,
    slow_start_load_multiple=3.0,
    slow_start_window_ms=1000.0,
    max_attempts=3,
    max_retry_after_ms=1500.0,
)
SLOW = replace(
    COLD, slow_start_ms=24000.0, slow_start_initial_fraction=0.13, slow_start_load_multiple=4.0
)  # next to nothing at first
SERVERS, HOLDS, LIFE_MS = 16, 30, 30000.0  # a server's connections when it is full, and how long one lasts
LOAD = 0.35  # what the servers hold of that
STEP_MS = 5.0


@dataclass
class Crowd:
    """Gateways, and the clients that come to them by chance."""

    gateways: int
    settings: Settings
    seed: int
    groups: int = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.told = replace(self.settings, gateways=self.gateways)
        self.fleet = [Gateway(self.told, SERVERS, self.seed * 1000 + i) for i in range(self.gateways)]
        self.came = 0
        self.names = [self.random.getrandbits(60) for _ in range(self.groups)]
        self.where: dict[int, tuple[int, int]] = {}
        for _ in range(int(SERVERS * HOLDS * LOAD)):
            self.came += 1
            at = self.random.randrange(self.gateways)
            self.where[self.came] = at, self.fleet[at].connect(self.came, **self.who())
        for gateway in self.fleet:
            gateway.advance(20000)  # long enough to save up whatever may be saved
        self.begun = self.fleet[0].now

    def who(self) -> dict[str, int]:
        """The next client's key, and its group where there are any."""
        group = self.random.choice(self.names) if self.names else 0
        return {"key": self.random.getrandbits(60), "group": group}

    def restart(self, cold: int, gateways_too: bool) -> list[float]:
        """So many servers are replaced, or all with all gateways; when those who lost theirs come again."""
        young = set(range(1, cold + 1))
        lost = [n for n, (_, endpoint) in self.where.items() if gateways_too or endpoint in young]
        news = [entry(i, started=self.begun if i in young else 0.0) for i in range(1, SERVERS + 1)]
        if gateways_too:
            self.fleet = [Gateway(self.told, 0, self.seed * 777 + i) for i in range(self.gateways)]
            for gateway in self.fleet:
                gateway.now = self.begun
        for gateway in self.fleet:
            gateway.handle_events(list_update(*news, kind=ListUpdateKind.FULL, version=2))
        for n in () if gateways_too else lost:
            at, _ = self.where[n]
            self.fleet[at].end_attempt(n, Outcome.RESET, final=True)
        return [self.begun + 1000 * self.random.random() for _ in lost]

    def play(self, coming: list[float], rate: float) -> list[tuple[float, int]]:
        """Nine seconds of clients, `rate` times the usual; who is refused comes again. What was sent."""
        sent, now, usual = [], self.begun, SERVERS * HOLDS * LOAD / LIFE_MS
        while now < self.begun + 9000:
            now += self.random.expovariate(rate * usual)
            coming.append(now)
        coming.sort()
        now = self.begun
        while now < self.begun + 9000:
            now += STEP_MS
            asks: dict[int, list[int]] = {}
            while coming and coming[0] <= now:
                heappop(coming)
                self.came += 1
                asks.setdefault(self.random.randrange(self.gateways), []).append(self.came)
            for i, gateway in enumerate(self.fleet):
                before = len(gateway.actions)
                gateway.advance(now - gateway.now)
                for n in asks.get(i, ()):
                    gateway.submit(n, **self.who())
                for action in gateway.actions[before:]:
                    if isinstance(action, Send):
                        sent.append((now, action.endpoint))
                        gateway.establish(action.request)
                    elif isinstance(action, Reject | Fail):
                        heappush(coming, now + 100 + 900 * self.random.random())
        return sent

    def most(self, at: float) -> float:
        """What a cold server may be sent from a moment on, in the time in which it falls."""
        s = self.settings
        warmth = (
            s.slow_start_initial_fraction
            + (1 - s.slow_start_initial_fraction) * (at - self.begun) / s.slow_start_ms
        )
        n = s.slow_start_load_multiple * warmth * HOLDS * s.slow_start_window_ms / s.slow_start_ms
        return n + 2 * sqrt(n) + 2


STORMS = {
    "few clients": (COLD, 5, False, 0.2, 0),
    "as ever": (COLD, 5, False, 1.0, 0),
    "many clients": (COLD, 5, False, 4.0, 0),
    "servers that start with next to nothing": (SLOW, 5, False, 1.0, 0),
    "all servers and all gateways restarted": (COLD, SERVERS, True, 1.0, 0),
    "the same, and all clients of two groups": (COLD, SERVERS, True, 1.0, 2),
}


def held_to(crowd: Crowd, sent: list[tuple[float, int]], endpoints: range) -> int:
    """What those servers were sent, in every stretch within what it may be."""
    placed = 0
    for endpoint in endpoints:
        times = [at for at, where in sent if where == endpoint]
        placed += len(times)
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - crowd.told.slow_start_window_ms:
                first += 1
            assert last - first + 1 <= crowd.most(times[first]), (crowd.seed, endpoint, at - crowd.begun)
    return placed


@pytest.mark.parametrize("gateways", [4, 20, 30])
@pytest.mark.parametrize("storm", STORMS)
def test_what_all_gateways_send_a_cold_server_keeps_to_its_budget(gateways: int, storm: str) -> None:
    settings, cold, all_too, rate, groups = STORMS[storm]
    placed = 0
    for seed in (1, 2, 3, 4):
        crowd = Crowd(gateways, settings, seed, groups)
        sent = crowd.play(crowd.restart(cold, all_too), rate)
        placed += held_to(crowd, sent, range(1, cold + 1))
    assert placed > 0  # held back, and not left out


@pytest.mark.parametrize("gateways", [4, 20, 30])
def test_a_server_that_staff_put_back_at_all_gateways_at_once_keeps_to_it_too(gateways: int) -> None:
    for seed in (1, 2, 3, 4):
        crowd = Crowd(gateways, COLD, seed)
        for gateway in crowd.fleet:
            gateway.handle_events(EndpointDetached(1))
            gateway.advance(5000)
            gateway.handle_events(EndpointAttached(1))
        crowd.begun = crowd.fleet[0].now
        sent = crowd.play([], rate=4.0)
        assert held_to(crowd, sent, range(1, 2)) > 0
        assert min(at for at, endpoint in sent if endpoint == 1) < crowd.begun + 5000
