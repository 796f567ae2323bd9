"""Measures how much of a limit is admitted, and the excess over it, with and without faults.

`python -m benchmarks.quota` simulates five gateways on virtual time with fixed seeds; demand is twice the
limit. For comparison, the same run simulates equal shares, a central counter and gossiped counts on the same
network. It also measures the processing time of one admission.
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
DEMAND = 2 * LIMIT.amount / (WINDOW_MS / 1000)  # requests per second, at all gateways together
ALGORITHMS = ("permits", "equal shares", "central counter", "gossiped counts")
DEMANDS = ("even", "skewed", "moving")
FAULTS = ("none", "loss", "split", "pause", "kill", "restart", "skew")
SEEDS = range(1, 6)
FAULT_S = 5  # simulated second in which the fault is injected
REPAIR_S = 15  # simulated second in which cut links and pauses end
RUN_S = 40
GOSSIP_INTERVAL_MS = 200
ADMISSIONS = 100000  # number of admissions that the cost is measured over


class CounterBase:
    """Base class of the algorithms for comparison: counts admitted requests by window."""

    def __init__(self, name: str, **options: Any) -> None:
        self.name = name
        self.voters = options["voters"]
        self.consumed: Counter[int] = Counter()

    def has_permit(self, window: int) -> bool:
        """Return whether one more request may be admitted in a window."""
        raise NotImplementedError

    def admit(self, tenant: str, now: float, until: float) -> Charge | Rejection:
        """Admit or reject a request, as `Quota.admit` does."""
        window = int(now // WINDOW_MS)
        if not self.has_permit(window):
            return Rejection("opens", 100.0)
        self.consumed[window] += 1
        return Charge(tenant, now)

    def on_established(self, charge: Charge, now: float) -> None:
        """Do nothing: the request was counted when it was admitted."""

    def handle(self, now: float, events: Any) -> list[Any]:
        """Process events, as `Quota.handle` does. This base class ignores them and returns no actions."""
        return []


class EqualShares(CounterBase):
    """Each gateway has an equal, fixed share of the limit, regardless of demand."""

    def has_permit(self, window: int) -> bool:
        """Return whether this gateway's share is not used up."""
        return self.consumed[window] < LIMIT.amount // len(self.voters)


class CentralCounter(CounterBase):
    """The first gateway counts the requests of all gateways. A gateway that cannot reach it admits nothing.

    Answers of the first gateway arrive without delay.
    """

    fleet: Gateways

    def has_permit(self, window: int) -> bool:
        """Ask the first gateway, which counts the request immediately."""
        counter = self.fleet.gateways.get("e1")
        if counter is None or "e1" in self.fleet.paused or (self.name, "e1") in self.fleet.cut_links:
            return False
        if self.name != "e1":
            lost = self.fleet.random.random() < 1 - (1 - self.fleet.loss) ** 2
            if lost or counter.consumed[window] >= LIMIT.amount:
                return False
            counter.consumed[window] += 1
            return True
        return self.consumed[window] < LIMIT.amount


class GossipedCounts(CounterBase):
    """Each gateway sends its count to the others five times per second, and sums the counts it receives."""

    def __init__(self, name: str, **options: Any) -> None:
        super().__init__(name, **options)
        self.peer_counts: dict[PeerWindow, int] = {}
        self.sent_ms = 0.0

    def has_permit(self, window: int) -> bool:
        """Return whether the sum of the known counts is below the limit."""
        consumed_by_peers = sum(count for key, count in self.peer_counts.items() if key.window == window)
        return self.consumed[window] + consumed_by_peers < LIMIT.amount

    def handle(self, now: float, events: Any) -> list[Any]:
        """Record the counts of other gateways, and send this gateway's count if the interval has passed."""
        for event in events:
            if hasattr(event, "data"):
                window, count = map(int, event.data.split())
                key = PeerWindow(window, event.sender)
                self.peer_counts[key] = max(count, self.peer_counts.get(key, 0))
        if now - self.sent_ms < GOSSIP_INTERVAL_MS:
            return []
        self.sent_ms = now
        window = int(now // WINDOW_MS)
        data = b"%d %d" % (window, self.consumed[window])
        return [SendMessage(name, data) for name in self.voters if name != self.name]


class Case(NamedTuple):
    """The parameters of one simulation."""

    algorithm: str
    demand: str
    fault: str
    seed: int


class Result(NamedTuple):
    """The largest excess over the limit in a window, and the mean fraction of the limit that was admitted."""

    case: Case
    excess: int
    admitted_fraction: float


def rates(case: Case, second: int) -> dict[str, float]:
    """Return the request rate at each gateway in requests per second, in the given simulated second."""
    if case.demand == "even":
        return dict.fromkeys(NAMES, DEMAND / 5)
    busiest = NAMES[1 + (second // 5) % 4] if case.demand == "moving" else "e2"
    return {name: DEMAND * (0.9 if name == busiest else 0.025) for name in NAMES}


def inject(fault: str, fleet: Gateways) -> None:
    """Inject a fault. Message loss is set from the start of the simulation instead."""
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
    """Run one simulation and return its result."""
    factory = {
        "permits": Quota,
        "equal shares": EqualShares,
        "central counter": CentralCounter,
        "gossiped counts": GossipedCounts,
    }[case.algorithm]
    fleet = Gateways((LIMIT,), case.seed, factory=factory, loss=0.3 if case.fault == "loss" else 0.0)
    CentralCounter.fleet = fleet
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
    later_windows = windows[1:]  # windows after the one in which the fault is injected
    return Result(
        case, max(0, max(windows) - LIMIT.amount), sum(later_windows) / len(later_windows) / LIMIT.amount
    )


def admission_cost_us() -> float:
    """Return the mean time that one admission takes, in microseconds."""
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
    """Run all simulations, and print the result table and the time per admission."""
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
    print(f"\ntime per admission: {admission_cost_us():.2f} microseconds")


if __name__ == "__main__":
    main()
