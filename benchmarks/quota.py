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
from puffindeck_quota.tenant_limit import PeerWindow
from puffindeck_testing.gateways import NAMES, WINDOW_MS, Gateways

LIMIT = Limit("acme", Unit.OPENED_CONNECTIONS, 400, WINDOW_MS)
DEMAND = 2 * LIMIT.amount / (WINDOW_MS / 1000)  # a second, all gateways together
ALGORITHMS = ("permits", "equal parts", "central counter", "gossiped counts")
DEMANDS = ("even", "skewed", "wandering")
FAULTS = ("none", "loss", "split", "pause", "kill", "restart", "skew")
SEEDS = range(1, 6)
FAULT_S = 5  # when the fault begins, in seconds
REPAIR_S = 15  # when links and pauses end
RUN_S = 40
GOSSIP_INTERVAL_MS = 200
ADMISSIONS = 100000  # whose cost is measured


class CounterBase:
    """What the simpler algorithms share: a count for each window."""

    def __init__(self, name: str, **options: Any) -> None:
        self.name = name
        self.voters = options["voters"]
        self.consumed: Counter[int] = Counter()

    def has_permit(self, window: int) -> bool:
        """Whether one more request may be admitted in a window."""
        raise NotImplementedError

    def admit(self, tenant: str, now: float, until: float) -> Charge | Rejection:
        """As `Quota.admit`."""
        window = int(now // WINDOW_MS)
        if not self.has_permit(window):
            return Rejection("opens", 100.0)
        self.consumed[window] += 1
        return Charge(tenant, now)

    def on_established(self, charge: Charge, now: float) -> None:
        """The request is counted from its admission on."""

    def handle(self, now: float, events: Any) -> list[Any]:
        """As `Quota.handle`; nothing is sent."""
        return []


class EqualParts(CounterBase):
    """Each gateway has an equal part, whatever the demand."""

    def has_permit(self, window: int) -> bool:
        """Whether this gateway's part is not used up."""
        return self.consumed[window] < LIMIT.amount // len(self.voters)


class Central(CounterBase):
    """The first gateway counts for all; those that can't reach it admit nothing. Its answer takes no time."""

    fleet: Gateways

    def has_permit(self, window: int) -> bool:
        """Ask the first gateway, which counts the request at once."""
        centre = self.fleet.gateways.get("e1")
        if centre is None or "e1" in self.fleet.paused or (self.name, "e1") in self.fleet.cut_links:
            return False
        if self.name != "e1":
            lost = self.fleet.random.random() < 1 - (1 - self.fleet.loss) ** 2
            if lost or centre.consumed[window] >= LIMIT.amount:
                return False
            centre.consumed[window] += 1
            return True
        return self.consumed[window] < LIMIT.amount


class Gossiped(CounterBase):
    """Each sends the others its count, five times a second, and adds up what it has received."""

    def __init__(self, name: str, **options: Any) -> None:
        super().__init__(name, **options)
        self.others: dict[PeerWindow, int] = {}
        self.sent_ms = 0.0

    def has_permit(self, window: int) -> bool:
        """Whether the known counts are below the limit."""
        elsewhere = sum(count for key, count in self.others.items() if key.window == window)
        return self.consumed[window] + elsewhere < LIMIT.amount

    def handle(self, now: float, events: Any) -> list[Any]:
        """Take the others' counts, and send this gateway's."""
        for event in events:
            if hasattr(event, "data"):
                window, count = map(int, event.data.split())
                key = PeerWindow(window, event.sender)
                self.others[key] = max(count, self.others.get(key, 0))
        if now - self.sent_ms < GOSSIP_INTERVAL_MS:
            return []
        self.sent_ms = now
        window = int(now // WINDOW_MS)
        data = b"%d %d" % (window, self.consumed[window])
        return [SendMessage(name, data) for name in self.voters if name != self.name]


class Case(NamedTuple):
    """One simulation."""

    algorithm: str
    demand: str
    fault: str
    seed: int


class Result(NamedTuple):
    """The most that a window admitted beyond the limit, and the mean fraction of it that was admitted."""

    case: Case
    excess: int
    admitted_fraction: float


def rates(case: Case, second: int) -> dict[str, float]:
    """Requests a second at each gateway, in a second of the simulation."""
    if case.demand == "even":
        return dict.fromkeys(NAMES, DEMAND / 5)
    busiest = NAMES[1 + (second // 5) % 4] if case.demand == "wandering" else "e2"
    return {name: DEMAND * (0.9 if name == busiest else 0.025) for name in NAMES}


def inject(fault: str, fleet: Gateways) -> None:
    """Begin a fault. Loss is set from the start instead."""
    if fault == "split":
        fleet.split({"e1", "e2"}, {"e3", "e4", "e5"})
    elif fault == "pause":
        fleet.paused = {"e1", "e3"}
    elif fault in ("kill", "restart"):
        fleet.kill("e3")
        if fault == "restart":
            fleet.start("e3")
    elif fault == "skew":
        fleet.clock_skews_ms = {"e3": 2000.0}


def simulate(case: Case) -> Result:
    """Simulate one case."""
    factory = {
        "permits": Quota,
        "equal parts": EqualParts,
        "central counter": Central,
        "gossiped counts": Gossiped,
    }[case.algorithm]
    fleet = Gateways((LIMIT,), case.seed, factory=factory, loss=0.3 if case.fault == "loss" else 0.0)
    Central.fleet = fleet
    fleet.settle()
    first = fleet.window
    for second in range(RUN_S):
        if second == FAULT_S:
            inject(case.fault, fleet)
        elif second == REPAIR_S:
            fleet.cut_links = set()
            fleet.paused = set()
        fleet.run(1, rates(case, second))
    windows = [fleet.admitted_in(first + i) for i in range(4)]
    after = windows[1:]  # from the window after the fault's on
    return Result(case, max(0, max(windows) - LIMIT.amount), sum(after) / len(after) / LIMIT.amount)


def admission_cost_us() -> float:
    """The time that one admission takes, in microseconds."""
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
    started = time.perf_counter()
    for _ in range(ADMISSIONS):
        charges.append(quota.admit("acme", now, now + 1800))
    elapsed_s = time.perf_counter() - started
    assert all(isinstance(charge, Charge) for charge in charges)
    return elapsed_s * 1e6 / ADMISSIONS


def main() -> None:
    """Print the table and the cost of an admission."""
    cases = [
        Case(algorithm, demand, fault, seed)
        for algorithm in ALGORITHMS
        for demand in DEMANDS
        for fault in FAULTS
        for seed in SEEDS
    ]
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(simulate, cases, chunksize=4))
    rows = []
    for algorithm in ALGORITHMS:
        for fault in FAULTS:
            row: list[object] = [algorithm, fault]
            for demand in DEMANDS:
                matching = [result for result in results if result.case[:3] == (algorithm, demand, fault)]
                row += [
                    max(result.excess for result in matching),
                    f"{sum(result.admitted_fraction for result in matching) / len(matching):.3f}",
                ]
            rows.append(row)
    headings = [heading for demand in DEMANDS for heading in (f"{demand}: excess", "admitted")]
    print(table(["algorithm", "fault", *headings], rows))
    print(f"\nan admission: {admission_cost_us():.2f} microseconds")


if __name__ == "__main__":
    main()
