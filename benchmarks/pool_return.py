"""Failure and return of a pool's primaries on virtual time: use of the backups, and the shift back.

    python -m benchmarks.pool_return [--seeds 5] [--rate 60] [--stays 5 20]

A pool has three primaries and two backups. Clients arrive at random, `rate` per second, and their connections
last 5 or 20 s on average. The primaries fail at 40 s and refuse connects; the endpoint list shows that 4 s
later. They are restarted at 60 s, in slow start; the endpoint list shows that 2 s later.

Prints for each number of gateways and each way to shift back:

- the fraction of the clients that arrive while the primaries are down and are served within one second
- the longest wait for a connection, the attempts per client, and the number of rejections
- the highest rate of requests to a restarted primary, as a multiple of the allowed rate. That is 3 times the
  rate that fills it over its slow start, times its present warmth. Above 1 the primary would fail again.
- the time from the restart until the primaries get 95% of the new connections

One way is the pool's own, by the warmth of the primaries. The other shifts everything back at once, as load
balancers do that stop using backups when one primary is up. It is the same code with a slow start of 0 s.
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
FAILURE_MS, GONE_LISTED_MS, RESTART_MS, RESTART_LISTED_MS, END_MS = 40e3, 44e3, 60e3, 62e3, 90e3
CONNECT_MS, DEFAULT_RETRY_MS = 20.0, 1000.0
SLOW_START_INITIAL_FRACTION, SLOW_START_MS, SLOW_START_LOAD_MULTIPLE, SLOW_START_WINDOW_MS = (
    0.31,
    9000.0,
    3.0,
    1000.0,
)
SETTINGS = Settings(
    classes=(ClassSettings(300, 1800),),
    gateways=1,
    zone=0,
    max_attempts=3,
    drain_grace_ms=500,
    answer_slack_ms=20,
    slow_start_initial_fraction=SLOW_START_INITIAL_FRACTION,
    slow_start_ms=SLOW_START_MS,
    slow_start_load_multiple=SLOW_START_LOAD_MULTIPLE,
    slow_start_window_ms=SLOW_START_WINDOW_MS,
    can_cancel=True,
    max_retry_after_ms=1500,
)


class Simulation:
    """One run. A request is identified by its gateway and its number. Times are in milliseconds."""

    def __init__(self, gateways: int, rate: float, lifetime_ms: float, seed: int, at_once: bool) -> None:
        self.random, self.rate, self.lifetime_ms = Random(seed), rate, lifetime_ms
        settings = replace(SETTINGS, gateways=gateways, slow_start_ms=0.0 if at_once else SLOW_START_MS)
        pool = Pool("main", (tuple(map(str, PRIMARIES)), tuple(map(str, BACKUPS))))
        routing = Routing(RouteTable((), "main"), (pool,))
        self.gateways = [
            PoolRouter(routing, settings, self.random.getrandbits(32), int, str) for _ in range(gateways)
        ]
        self.time = VirtualTime()
        self.ids = count(1)
        self.arrivals: dict[tuple[int, int], tuple[float, int]] = {}  # a client's first arrival, and its key
        self.attempts: Counter[tuple[int, int]] = Counter()
        self._endpoints: dict[tuple[int, int], int] = {}  # endpoints of the open connections
        self.open_connections: Counter[int] = Counter()  # by endpoint
        self.waits: list[tuple[float, float]] = []  # a client's first arrival, and how long it waited
        self.sends: dict[int, list[float]] = defaultdict(list)  # times of the attempts, by endpoint
        # Time of each attempt after the primaries' return, and whether it is sent to a primary.
        self.late_sends: list[tuple[float, bool]] = []
        self.rejections = 0
        self.full = 1.0  # mean connections of a primary at the failure

    def update_list(self, kind: ListUpdateKind, version: int, state: EndpointStatus, started: float) -> None:
        entries = [EndpointEntry(s, 0, 0, 0, state, 1.0, started) for s in PRIMARIES]
        if kind == ListUpdateKind.FULL:
            entries += [EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 1.0, 0.0) for s in BACKUPS]
        for gateway in range(len(self.gateways)):
            self.dispatch(gateway, EndpointListUpdated(kind, version, entries))

    def run(self) -> None:
        self.update_list(ListUpdateKind.FULL, 1, EndpointStatus.READY, 0.0)
        arrival_ms = 0.0
        while arrival_ms < END_MS:
            arrival_ms += self.random.expovariate(self.rate / 1000)
            self.time.schedule(arrival_ms, self.submit, arrival_ms, self.random.getrandbits(60))
        self.time.schedule(FAILURE_MS, self.fail_primaries)
        self.time.schedule(
            GONE_LISTED_MS, self.update_list, ListUpdateKind.CHANGES, 2, EndpointStatus.GONE, 0.0
        )
        self.time.schedule(
            RESTART_LISTED_MS, self.update_list, ListUpdateKind.CHANGES, 3, EndpointStatus.READY, RESTART_MS
        )
        self.time.run(END_MS)

    def submit(self, first_ms: float, key: int) -> None:
        gateway, request = self.random.randrange(len(self.gateways)), next(self.ids)
        self.arrivals[gateway, request] = first_ms, key
        self.dispatch(gateway, RequestArrived(request, 0, 0, key, 1800, 0.0, 0))

    def is_up(self, endpoint: int) -> bool:
        return endpoint in BACKUPS or not FAILURE_MS <= self.time.now_ms < RESTART_MS

    def fail_primaries(self) -> None:
        self.full = sum(self.open_connections[s] for s in PRIMARIES) / len(PRIMARIES)
        for (gateway, request), endpoint in list(self._endpoints.items()):
            if endpoint in PRIMARIES:
                self.end_connection(gateway, request, Outcome.RESET)

    def end_connection(self, gateway: int, request: int, outcome: Outcome) -> None:
        endpoint = self._endpoints.pop((gateway, request), None)
        if endpoint is not None:
            self.open_connections[endpoint] -= 1
            self.dispatch(
                gateway,
                AttemptEnded(request, outcome, endpoint, self.attempts[gateway, request] - 1, True, 0.0),
            )

    def dispatch(self, gateway: int, event: Event) -> None:
        for action in self.gateways[gateway].handle(self.time.now_ms, [event]):
            self.execute(gateway, action)

    def execute(self, gateway: int, action: Action) -> None:
        if isinstance(action, ScheduleTimer):
            self.time.schedule_after(action.delay_ms, self.dispatch, gateway, TimerFired(action.token))
        elif isinstance(action, Send):
            attempt, endpoint = self.attempts[gateway, action.request], action.endpoint
            self.attempts[gateway, action.request] += 1
            self.sends[endpoint].append(self.time.now_ms)
            if self.time.now_ms >= RESTART_LISTED_MS:
                self.late_sends.append((self.time.now_ms, endpoint in PRIMARIES))
            elapsed_ms = CONNECT_MS if self.is_up(endpoint) else 1.0
            self.time.schedule_after(
                elapsed_ms, self.end_connect, gateway, action.request, endpoint, attempt, elapsed_ms
            )
        elif isinstance(action, Reject):
            self.rejections += 1
            first_ms, key = self.arrivals[gateway, action.request]
            self.time.schedule_after(action.retry_after_ms or DEFAULT_RETRY_MS, self.submit, first_ms, key)
        else:
            assert not isinstance(action, (Fail, Cancel, Migrate))

    def end_connect(self, gateway: int, request: int, endpoint: int, attempt: int, elapsed_ms: float) -> None:
        """Establish the connection, or end the attempt if the endpoint is down."""
        if not self.is_up(endpoint):
            self.dispatch(
                gateway, AttemptEnded(request, Outcome.CONNECT_FAILED, endpoint, attempt, False, elapsed_ms)
            )
            return
        self.waits.append(
            (self.arrivals[gateway, request][0], self.time.now_ms - self.arrivals[gateway, request][0])
        )
        self.open_connections[endpoint] += 1
        self._endpoints[gateway, request] = endpoint
        self.dispatch(gateway, AttemptEstablished(request, endpoint, elapsed_ms, attempt))
        self.time.schedule_after(
            self.random.expovariate(1 / self.lifetime_ms), self.end_connection, gateway, request, Outcome.OK
        )

    # Figures

    def served_fraction(self) -> float:
        """Return the fraction of clients served within a second, of those that arrived during the failure."""
        return mean(wait <= 1000 for first_ms, wait in self.waits if FAILURE_MS <= first_ms < RESTART_MS)

    def overload(self) -> float:
        """Return the most requests that a restarted primary got within a window, by the allowed number."""
        worst = 0.0
        for endpoint in PRIMARIES:
            times = [t for t in self.sends[endpoint] if RESTART_MS <= t < RESTART_MS + SLOW_START_MS]
            for i, end in enumerate(times):
                request_count = sum(end - SLOW_START_WINDOW_MS < t for t in times[: i + 1])
                warmth = (
                    SLOW_START_INITIAL_FRACTION
                    + (1 - SLOW_START_INITIAL_FRACTION) * (end - RESTART_MS) / SLOW_START_MS
                )
                worst = max(
                    worst,
                    request_count
                    / max(
                        1.0,
                        SLOW_START_LOAD_MULTIPLE * warmth * self.full * SLOW_START_WINDOW_MS / SLOW_START_MS,
                    ),
                )
        return worst

    def return_seconds(self) -> float:
        """Return the seconds from the restart until the primaries permanently get 95% of new connections."""
        seconds: dict[int, list[bool]] = defaultdict(list)
        for time_ms, is_primary in self.late_sends:
            seconds[int((time_ms - RESTART_MS) / 1000)].append(is_primary)
        short = [second for second, to_primaries in seconds.items() if mean(to_primaries) < 0.95]
        return float(max(short, default=int((RESTART_LISTED_MS - RESTART_MS) / 1000) - 1) + 1)


def simulate(gateways: int, rate: float, lifetime_ms: float, seed: int, at_once: bool) -> Simulation:
    """Run a simulation to its end."""
    simulation = Simulation(gateways, rate, lifetime_ms, seed, at_once)
    simulation.run()
    return simulation


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--stays", type=int, nargs="+", default=[5, 20], help="seconds")
    parser.add_argument("--rate", type=float, default=60.0)
    arguments = parser.parse_args()
    rows = []
    seeds = range(1, arguments.seeds + 1)
    for lifetime, gateways in product(arguments.stays, (1, 4, 40)):
        for at_once in (False, True):
            runs = [simulate(gateways, arguments.rate, 1000.0 * lifetime, seed, at_once) for seed in seeds]
            rows.append(
                [
                    lifetime,
                    gateways,
                    "all at once" if at_once else "by warmth",
                    mean(run.served_fraction() for run in runs),
                    max(wait for run in runs for _, wait in run.waits) / 1000,
                    mean(sum(run.attempts.values()) / len(run.waits) for run in runs),
                    mean(run.rejections for run in runs),
                    max(run.overload() for run in runs),
                    max(run.return_seconds() for run in runs),
                ]
            )
    print(
        table(
            (
                "lifetime, s",
                "gateways",
                "shift back",
                "served within 1 s",
                "longest wait, s",
                "attempts per client",
                "rejected",
                "restarted servers: sent/allowed",
                "shifted back after, s",
            ),
            rows,
        )
    )


if __name__ == "__main__":
    main()
