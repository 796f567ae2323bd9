"""Gateways that keep quotas together, on virtual time with the faults of a real network, by a seed.

What was admitted is counted here by true time, and shares nothing with the gateways' own counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_quota import Charge, Limit, MembersChanged, Quota, QuotaSettings, Revoke, Tick

NAMES = ("e1", "e2", "e3", "e4", "e5")
SIZE = 10000


class Gateways:
    """Gateways, what passes between them, and what was admitted."""

    def __init__(
        self,
        limits: tuple[Limit, ...],
        seed: int = 1,
        names: tuple[str, ...] = NAMES,
        loss: float = 0.0,
        copies: float = 0.0,
        make: Callable[..., Any] = Quota,
    ) -> None:
        self.random = Random(seed)
        self.names, self.limits, self.loss, self.copies = names, limits, loss, copies
        self.now = 1_000_000.0
        self.lives = 0
        self.gateways: dict[str, Any] = {}
        self.make = make
        self.cut: set[tuple[str, str]] = set()
        self.skews: dict[str, float] = {}
        self.paused: set[str] = set()
        self.flying: list[tuple[float, int, str, str, bytes]] = []
        self.count = 0
        self.admitted: Counter[tuple[str, int]] = Counter()  # tenant and window, by true time
        self.by: Counter[str] = Counter()
        self.refused = 0
        self.released: list[Charge] = []
        self.reports: list[Report] = []
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        self.lives += 1
        self.gateways[name] = self.make(
            name,
            process_incarnation=self.lives,
            voters=self.names,
            limits=self.limits,
            seed=self.lives,
            settings=QuotaSettings(skew_ms=100.0),
        )

    def kill(self, name: str) -> None:
        del self.gateways[name]

    def split(self, *sides: set[str]) -> None:
        self.cut = {(a, b) for one in sides for other in sides if one is not other for a in one for b in other}

    def clock(self, name: str) -> float:
        return self.now + self.skews.get(name, 0.0)

    def step(self, ms: float = 20.0) -> None:
        self.now += ms
        due = sorted(item for item in self.flying if item[0] <= self.now)
        self.flying = [item for item in self.flying if item[0] > self.now]
        for _, _, sender, to, data in due:
            if to in self.gateways and to not in self.paused:
                self._do(to, self.gateways[to].handle(self.clock(to), [MessageReceived(sender, data)]))
            elif to in self.paused:
                self.flying.append((self.now + 1, 0, sender, to, data))
        for name, quota in list(self.gateways.items()):
            if name not in self.paused:
                living = {o: "" for o in self.gateways if o != name and (o, name) not in self.cut}
                middle = sorted([0.0, *(self.skews.get(o, 0.0) - self.skews.get(name, 0.0) for o in living)])
                apart = -middle[len(middle) // 2]
                self._do(name, quota.handle(self.clock(name), [MembersChanged(living, apart), Tick()]))

    def _do(self, name: str, actions: Sequence[object]) -> None:
        for action in actions:
            if isinstance(action, Revoke):
                self.released.append(action.charge)
            elif isinstance(action, Report):
                self.reports.append(action)
            elif isinstance(action, SendMessage):
                if (name, action.to) in self.cut or self.random.random() < self.loss:
                    continue
                for _ in range(1 + (self.random.random() < self.copies)):
                    self.count += 1
                    late = 1 + 30 * self.random.random() * (1 + 20 * self.copies * self.random.random())
                    self.flying.append((self.now + late, self.count, name, action.to, action.data))

    def ask(self, name: str, tenant: str = "acme") -> bool:
        """A client; its server says up some milliseconds later, which counts."""
        quota = self.gateways.get(name)
        if quota is None or name in self.paused:
            return False
        charge = quota.admit(tenant, self.clock(name), self.clock(name) + 500)
        if not isinstance(charge, Charge):
            self.refused += 1
            assert charge.retry_after_ms > 0
            return False
        late = self.random.uniform(0, 15)
        quota.on_established(charge, self.clock(name) + 15)
        self.admitted[tenant, int((self.now + late) // SIZE)] += 1
        self.by[name] += 1
        return True

    def run(self, seconds: float, rates: dict[str, float], tenant: str = "acme") -> None:
        """So many requests a second at each gateway."""
        for _ in range(int(seconds * 50)):
            self.step()
            for name, rate in rates.items():
                for _ in range(int(rate / 50) + (self.random.random() < rate / 50 % 1)):
                    self.ask(name, tenant)

    def settle(self) -> None:
        """To a moment after the beginning of a window with rights."""
        self.run(16, {})
        while not 200 <= self.now % SIZE < 250:
            self.step()

    def worst(self) -> int:
        return max(self.admitted.values(), default=0)
