"""A pool whose primaries die and come back cold, on virtual time: the backups' part, and the way back.

    python -m benchmarks.pool_return [--seeds 5] [--rate 60] [--stays 5 20]

Three primaries and two backups; clients come evenly drawn at `rate` a second and stay 5 or 20 s on average.
At 40 s the primaries die (connects are refused; the list says so 4 s later), at 60 s they are back, cold
(told 2 s later). For each way and number of gateways: the share of clients served within a second while the
primaries are away, the worst wait for a connection, attempts a client, refusals, and after the return the
most that a cold server is sent in a second by what the rule allows it (3 times what fills it over its
warm-up at its warmth; over 1 it falls over), and the seconds until the primaries get 95% of what is new.
Beside the pool's own way stands a return all at once, as backups drop out elsewhere when one primary is up,
which is the same program without a cold time.
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from dataclasses import replace
from itertools import count, product
from random import Random
from statistics import mean

from benchmarks.table import table
from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
    Cancel,
    ClassSettings,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
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
from puffindeck.routing import Pool, PoolRouter, RouteTable, Routing
from puffindeck_testing.virtual_time import VirtualTime

PRIMARIES, BACKUPS = (1, 2, 3), (4, 5)
DIE, GONE, BACK, TOLD, END = 40e3, 44e3, 60e3, 62e3, 90e3
SETUP, AGAIN = 20.0, 1000.0
COLD_FROM, COLD_MS, MULTIPLE, WINDOW = 0.31, 9000.0, 3.0, 1000.0
SETTINGS = Settings(
    classes=(ClassSettings(300, 1800),),
    gateways=1,
    zone=0,
    max_attempts=3,
    drain_grace_ms=500,
    answer_slack_ms=20,
    slow_start_initial_fraction=COLD_FROM,
    slow_start_ms=COLD_MS,
    slow_start_load_multiple=MULTIPLE,
    slow_start_window_ms=WINDOW,
    can_cancel=True,
    max_retry_after_ms=1500,
)


class Day:
    """One run."""

    def __init__(self, gateways: int, rate: float, stay: float, seed: int, at_once: bool) -> None:
        self.random, self.rate, self.stay = Random(seed), rate, stay
        told = replace(SETTINGS, gateways=gateways, slow_start_ms=0.0 if at_once else COLD_MS)
        pool = Pool("main", (tuple(map(str, PRIMARIES)), tuple(map(str, BACKUPS))))
        routing = Routing(RouteTable((), "main"), (pool,))
        self.gateways = [
            PoolRouter(routing, told, self.random.getrandbits(32), int, str) for _ in range(gateways)
        ]
        self.time = VirtualTime()
        self.ids = count(1)
        self.came: dict[tuple[int, int], tuple[float, int]] = {}  # when a client first came, and its key
        self.tries: Counter[tuple[int, int]] = Counter()
        self._places: dict[tuple[int, int], int] = {}  # where connections stand
        self.held: Counter[int] = Counter()
        self.waits: list[tuple[float, float]] = []  # when a client first came, and how long it waited
        self.sends: dict[int, list[float]] = defaultdict(list)
        self.new: list[tuple[float, bool]] = []  # placements after the return, and are they at primaries
        self.refused = 0
        self.full = 1.0

    def listed(self, kind: ListUpdateKind, version: int, state: EndpointStatus, started: float) -> None:
        entries = [EndpointEntry(s, 0, 0, 0, state, 1.0, started) for s in PRIMARIES]
        if kind == ListUpdateKind.FULL:
            entries += [EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 1.0, 0.0) for s in BACKUPS]
        for gateway in range(len(self.gateways)):
            self.tell(gateway, EndpointListUpdated(kind, version, entries))

    def run(self) -> None:
        self.listed(ListUpdateKind.FULL, 1, EndpointStatus.READY, 0.0)
        when = 0.0
        while when < END:
            when += self.random.expovariate(self.rate / 1000)
            self.time.schedule(when, self.come, when, self.random.getrandbits(60))
        self.time.schedule(DIE, self.die)
        self.time.schedule(GONE, self.listed, ListUpdateKind.CHANGES, 2, EndpointStatus.GONE, 0.0)
        self.time.schedule(TOLD, self.listed, ListUpdateKind.CHANGES, 3, EndpointStatus.READY, BACK)
        self.time.run(END)

    def come(self, first: float, key: int) -> None:
        gateway, request = self.random.randrange(len(self.gateways)), next(self.ids)
        self.came[gateway, request] = first, key
        self.tell(gateway, RequestArrived(request, 0, 0, key, 1800, 0.0, 0))

    def alive(self, endpoint: int) -> bool:
        return endpoint in BACKUPS or not DIE <= self.time.now_ms < BACK

    def die(self) -> None:
        self.full = sum(self.held[s] for s in PRIMARIES) / len(PRIMARIES)
        for (gateway, request), endpoint in list(self._places.items()):
            if endpoint in PRIMARIES:
                self.leave(gateway, request, Outcome.RESET)

    def leave(self, gateway: int, request: int, outcome: Outcome) -> None:
        endpoint = self._places.pop((gateway, request), None)
        if endpoint is not None:
            self.held[endpoint] -= 1
            self.tell(
                gateway, AttemptEnded(request, outcome, endpoint, self.tries[gateway, request] - 1, True, 0.0)
            )

    def tell(self, gateway: int, event: Event) -> None:
        for action in self.gateways[gateway].handle(self.time.now_ms, [event]):
            self.do(gateway, action)

    def do(self, gateway: int, action: Action) -> None:
        if isinstance(action, ScheduleTimer):
            self.time.schedule_after(action.delay_ms, self.tell, gateway, TimerFired(action.token))
        elif isinstance(action, Send):
            number, endpoint = self.tries[gateway, action.request], action.endpoint
            self.tries[gateway, action.request] += 1
            self.sends[endpoint].append(self.time.now_ms)
            if self.time.now_ms >= TOLD:
                self.new.append((self.time.now_ms, endpoint in PRIMARIES))
            took = SETUP if self.alive(endpoint) else 1.0
            self.time.schedule_after(took, self.over, gateway, action.request, endpoint, number, took)
        elif isinstance(action, Reject):
            self.refused += 1
            first, key = self.came[gateway, action.request]
            self.time.schedule_after(action.retry_after_ms or AGAIN, self.come, first, key)
        else:
            assert not isinstance(action, (Fail, Cancel, Migrate))

    def over(self, gateway: int, request: int, endpoint: int, number: int, took: float) -> None:
        if not self.alive(endpoint):
            self.tell(gateway, AttemptEnded(request, Outcome.CONNECT_FAILED, endpoint, number, False, took))
            return
        self.waits.append((self.came[gateway, request][0], self.time.now_ms - self.came[gateway, request][0]))
        self.held[endpoint] += 1
        self._places[gateway, request] = endpoint
        self.tell(gateway, AttemptEstablished(request, endpoint, took, number))
        self.time.schedule_after(
            self.random.expovariate(1 / self.stay), self.leave, gateway, request, Outcome.OK
        )

    # Figures

    def away(self) -> float:
        """The share of those who came while the primaries were away that was served within a second."""
        return mean(wait <= 1000 for first, wait in self.waits if DIE <= first < BACK)

    def pushed(self) -> float:
        """The most that a cold server was sent in a second, by what it may be sent."""
        worst = 0.0
        for endpoint in PRIMARIES:
            times = [t for t in self.sends[endpoint] if BACK <= t < BACK + COLD_MS]
            for i, end in enumerate(times):
                sent = sum(end - WINDOW < t for t in times[: i + 1])
                warmth = COLD_FROM + (1 - COLD_FROM) * (end - BACK) / COLD_MS
                worst = max(worst, sent / max(1.0, MULTIPLE * warmth * self.full * WINDOW / COLD_MS))
        return worst

    def back(self) -> float:
        """Seconds from the return until the primaries get 95% of what is new, for good."""
        seconds: dict[int, list[bool]] = defaultdict(list)
        for when, primary in self.new:
            seconds[int((when - BACK) / 1000)].append(primary)
        short = [second for second, placed in seconds.items() if mean(placed) < 0.95]
        return float(max(short, default=int((TOLD - BACK) / 1000) - 1) + 1)


def day(gateways: int, rate: float, stay: float, seed: int, at_once: bool) -> Day:
    """One run to its end."""
    made = Day(gateways, rate, stay, seed, at_once)
    made.run()
    return made


def main() -> None:
    """Print the table."""
    arguments = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    arguments.add_argument("--seeds", type=int, default=5)
    arguments.add_argument("--stays", type=int, nargs="+", default=[5, 20], help="seconds")
    arguments.add_argument("--rate", type=float, default=60.0)
    chosen = arguments.parse_args()
    rows = []
    seeds = range(1, chosen.seeds + 1)
    for stay, gateways in product(chosen.stays, (1, 4, 40)):
        for at_once in (False, True):
            days = [day(gateways, chosen.rate, 1000.0 * stay, seed, at_once) for seed in seeds]
            rows.append(
                [
                    stay,
                    gateways,
                    "all at once" if at_once else "by warmth",
                    mean(d.away() for d in days),
                    max(wait for d in days for _, wait in d.waits) / 1000,
                    mean(sum(d.tries.values()) / len(d.waits) for d in days),
                    mean(d.refused for d in days),
                    max(d.pushed() for d in days),
                    max(d.back() for d in days),
                ]
            )
    print(
        table(
            (
                "stay, s",
                "gateways",
                "way back",
                "served within 1 s",
                "worst wait, s",
                "attempts a client",
                "refused",
                "cold servers sent/allowed",
                "back after, s",
            ),
            rows,
        )
    )


if __name__ == "__main__":
    main()
