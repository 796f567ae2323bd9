"""What is admitted of a limit, and what beyond it: `python -m benchmarks.quota`.

Five gateways on virtual time, demand twice the limit, seeded; beside equal parts, a central counter and
gossiped counts on the same network in the same run.
"""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

from benchmarks.table import table
from puffindeck_messaging import SendMessage
from puffindeck_quota import Charge, Limit, Quota, QuotaSettings, Rejection, Unit
from puffindeck_testing.gateways import NAMES, SIZE, Gateways

LIMIT = Limit("acme", Unit.OPENED_CONNECTIONS, 400, SIZE)
DEMAND = 2 * LIMIT.amount / (SIZE / 1000)  # a second, all gateways together
WAYS = ("rights", "equal parts", "central counter", "gossiped counts")
DEMANDS = ("even", "skewed", "wandering")
FAULTS = ("none", "loss", "split", "pause", "kill", "restart", "skew")
SEEDS = range(1, 6)


class Counted:
    """What the plainer ways share: a count for each window."""

    def __init__(self, name: str, **told: Any) -> None:
        self.name, self.voters = name, told["voters"]
        self.spent: Counter[int] = Counter()

    def room(self, window: int) -> bool:
        raise NotImplementedError

    def admit(self, tenant: str, now: float, until: float) -> Charge | Rejection:
        window = int(now // SIZE)
        if not self.room(window):
            return Rejection("opens", 100.0)
        self.spent[window] += 1
        return Charge(tenant, now)

    def on_established(self, charge: Charge, now: float) -> None:
        """It counts from its admission."""

    def handle(self, now: float, events: Any) -> list[Any]:
        return []


class EqualParts(Counted):
    """Each gateway has its part, whoever needs it."""

    def room(self, window: int) -> bool:
        return self.spent[window] < LIMIT.amount // len(self.voters)


class Central(Counted):
    """The first gateway counts for all: who can't reach it admits nothing. Its answer costs no time here."""

    fleet: Gateways

    def room(self, window: int) -> bool:
        centre = self.fleet.gateways.get("e1")
        if centre is None or "e1" in self.fleet.paused or (self.name, "e1") in self.fleet.cut:
            return False
        if self.name != "e1":
            lost = self.fleet.random.random() < 1 - (1 - self.fleet.loss) ** 2
            if lost or centre.spent[window] >= LIMIT.amount:
                return False
            centre.spent[window] += 1
            return True
        return self.spent[window] < LIMIT.amount


class Gossiped(Counted):
    """Each tells the others what it has admitted, five times a second, and adds up what it was told."""

    def __init__(self, name: str, **told: Any) -> None:
        super().__init__(name, **told)
        self.others: dict[tuple[str, int], int] = {}
        self.told_ms = 0.0

    def room(self, window: int) -> bool:
        return self.spent[window] + sum(n for (_, w), n in self.others.items() if w == window) < LIMIT.amount

    def handle(self, now: float, events: Any) -> list[Any]:
        for event in events:
            if hasattr(event, "data"):
                window, count = map(int, event.data.split())
                key = event.sender, window
                self.others[key] = max(count, self.others.get(key, 0))
        if now - self.told_ms < 200:
            return []
        self.told_ms = now
        window = int(now // SIZE)
        data = b"%d %d" % (window, self.spent[window])
        return [SendMessage(name, data) for name in self.voters if name != self.name]


class Case(NamedTuple):
    """One play."""

    way: str
    demand: str
    fault: str
    seed: int


class Found(NamedTuple):
    """What came of it: the most beyond the limit in a window, and the part of it that was admitted."""

    case: Case
    excess: int
    admitted: float


def rates(case: Case, second: int) -> dict[str, float]:
    if case.demand == "even":
        return dict.fromkeys(NAMES, DEMAND / 5)
    hot = NAMES[1 + (second // 5) % 4] if case.demand == "wandering" else "e2"
    return {name: DEMAND * (0.9 if name == hot else 0.025) for name in NAMES}


def play(case: Case) -> Found:
    make = {
        "rights": Quota,
        "equal parts": EqualParts,
        "central counter": Central,
        "gossiped counts": Gossiped,
    }[case.way]
    fleet = Gateways((LIMIT,), case.seed, make=make, loss=0.3 if case.fault == "loss" else 0.0)
    Central.fleet = fleet
    fleet.settle()
    first = int(fleet.now // SIZE)
    for second in range(40):
        if second == 5:
            if case.fault == "split":
                fleet.split({"e1", "e2"}, {"e3", "e4", "e5"})
            elif case.fault == "pause":
                fleet.paused = {"e1", "e3"}
            elif case.fault in ("kill", "restart"):
                fleet.kill("e3")
                if case.fault == "restart":
                    fleet.start("e3")
            elif case.fault == "skew":
                fleet.skews = {"e3": 2000.0}
        elif second == 15:
            fleet.cut, fleet.paused = set(), set()
        fleet.run(1, rates(case, second))
    windows = [fleet.admitted["acme", first + i] for i in range(4)]
    after = windows[1:]  # from the window after the fault's on
    return Found(case, max(0, max(windows) - LIMIT.amount), sum(after) / len(after) / LIMIT.amount)


def cost() -> float:
    """Microseconds of an admission."""
    quota = Quota(
        "e1",
        process_incarnation=1,
        voters=("e1",),
        limits=(Limit("acme", Unit.OPENED_CONNECTIONS, 1 << 30, 60000),),
        settings=QuotaSettings(),
    )
    for i in range(61):
        quota.handle(1_200_000.0 + 1000 * i, [])
    now = 1_261_000.0
    quota.handle(now, [])
    charges = []
    begun = time.perf_counter()
    for _ in range(100000):
        charges.append(quota.admit("acme", now, now + 1800))
    took = time.perf_counter() - begun
    assert all(isinstance(charge, Charge) for charge in charges)
    return took * 10


def main() -> None:
    cases = [
        Case(way, demand, fault, seed)
        for way in WAYS
        for demand in DEMANDS
        for fault in FAULTS
        for seed in SEEDS
    ]
    with ProcessPoolExecutor() as pool:
        played = list(pool.map(play, cases, chunksize=4))
    rows = []
    for way in WAYS:
        for fault in FAULTS:
            row: list[object] = [way, fault]
            for demand in DEMANDS:
                some = [f for f in played if f.case[:3] == (way, demand, fault)]
                row += [max(f.excess for f in some), f"{sum(f.admitted for f in some) / len(some):.3f}"]
            rows.append(row)
    heads = [head for demand in DEMANDS for head in (f"{demand}: excess", "admitted")]
    print(table(["way", "fault", *heads], rows))
    print(f"\nan admission: {cost():.2f} microseconds")


if __name__ == "__main__":
    main()
