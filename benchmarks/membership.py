"""Measures the time until all members know of a failure, false positives, and network traffic.

`python -m benchmarks.membership` runs on virtual time with fixed seeds. It compares the membership protocol
with heartbeats to all members and with SWIM without suspicions on the same network. `--quick` runs fewer
seeds for a shorter time.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Any, NamedTuple

from benchmarks.table import table
from puffindeck_membership import Membership, MemberUpdate, Phase
from puffindeck_testing.baseline_protocols import Heartbeats, SwimWithoutSuspicion
from puffindeck_testing.virtual_network import Link, VirtualNetwork

MEMBERSHIP = "membership"
HEARTBEATS = "heartbeats to all"
SWIM = "SWIM without suspicions"
PROTOCOLS = (MEMBERSHIP, HEARTBEATS, SWIM)
SCENARIOS = ("killed", "host down", "faults")
FLEET_SIZES = (5, 40, 200, 1000)
MAX_HEARTBEAT_MEMBERS = 200  # 1,000 members would send a million datagrams per second
SETTLE_MS = 4000.0
FAULT_INTERVAL_MS = 600000.0  # mean time between two pauses of one member, and between two cut links of it
PAUSE_MS = 4000.0
CUT_MS = 60000.0
FALSE_DEATH_BUCKET_MS = 10000  # declarations about one member within one bucket count once


class Case(NamedTuple):
    """The parameters of one run."""

    protocol: str
    members: int
    seed: int
    scenario: str
    seconds: float


class Result(NamedTuple):
    """The measurements of one run."""

    case: Case
    known_s: float  # time until all members know of the failure; infinite if some never do
    false_deaths: int  # live members that were declared dead
    datagrams: float  # sent per member and second
    octets: float  # sent per member and second


def network(case: Case) -> VirtualNetwork:
    """Return a network of the members of a case. The members know each other from the start."""
    net = VirtualNetwork(case.seed, Link(loss=0.3) if case.scenario == "faults" else None)
    addresses = {f"m{i}": f"10.{i >> 8}.{i & 255}.1:7000" for i in range(case.members)}
    updates = [MemberUpdate(name, Phase.ALIVE, 1, 1, at, "") for name, at in addresses.items()]
    for i, (name, at) in enumerate(addresses.items()):
        seed = case.seed * 10007 + i
        member: Any
        if case.protocol == MEMBERSHIP:
            member = Membership(name, at, process_incarnation=1, seed=seed, initial_updates=updates)
        elif case.protocol == HEARTBEATS:
            member = Heartbeats(name, addresses, seed)
        else:
            member = SwimWithoutSuspicion(name, addresses, seed)
        net.add(name, at, member)
    return net


def schedule_faults(net: VirtualNetwork, random: Random, until_ms: float) -> None:
    """Schedule pauses and one-way link cuts at random times.

    Each member is paused for 4 s once per ten minutes on average. As many links are cut in one direction
    for a minute.
    """
    names = list(net.hosts)
    faults_per_ms = len(names) / FAULT_INTERVAL_MS
    at_ms = net.now
    while at_ms < until_ms - 5000:
        at_ms += random.expovariate(faults_per_ms)
        net.at(at_ms, lambda: net.pause(random.choice(names), PAUSE_MS))
    at_ms = net.now
    while at_ms < until_ms:
        at_ms += random.expovariate(faults_per_ms)
        sender, receiver = random.sample(names, 2)
        net.at(at_ms, net.cut, sender, receiver)
        net.at(at_ms + CUT_MS, net.cut, sender, receiver, False)


def run_case(case: Case) -> Result:
    """Run one case and return its result."""
    net = network(case)
    net.run(SETTLE_MS)
    for host in net.hosts.values():
        host.sent = host.octets = 0
    random = Random(case.seed)
    victim = ""
    if case.scenario == "faults":
        schedule_faults(net, random, net.now + case.seconds * 1000)
    else:
        victim = random.choice(list(net.hosts))
        net.kill(victim, machine=case.scenario == "host down")
    begin_ms = net.now
    net.run(begin_ms + case.seconds * 1000)
    return result(case, net, victim, begin_ms)


def result(case: Case, net: VirtualNetwork, victim: str, begin_ms: float) -> Result:
    """Return the measurements of a completed run. `victim` is empty if no member was killed."""
    known_ms: dict[str, float] = {}  # when each member learned of the victim's failure, by member name
    false_deaths = set()
    for when_ms, observer, change in net.changes:
        if change.update.phase != Phase.DEAD:
            continue
        if change.update.name == victim:
            known_ms.setdefault(observer, when_ms)
        else:
            false_deaths.add((change.update.name, when_ms // FALSE_DEATH_BUCKET_MS))
    survivors = [host for host in net.hosts.values() if host.name != victim]
    known_s = float("inf")
    if victim and len(known_ms) == len(survivors):
        known_s = (max(known_ms.values()) - begin_ms) / 1000
    member_seconds = len(survivors) * case.seconds
    datagrams = sum(host.sent for host in survivors) / member_seconds
    octets = sum(host.octets for host in survivors) / member_seconds
    return Result(case, known_s, len(false_deaths), datagrams, octets)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which the given fraction of all values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def cases(quick: bool) -> list[Case]:
    """Return all cases, the most expensive first."""
    seeds = range(1, 5 if quick else 21)
    few_seeds = range(1, 3 if quick else 9)
    all_cases = []
    for protocol in PROTOCOLS:
        for members in FLEET_SIZES:
            if protocol == HEARTBEATS and members > MAX_HEARTBEAT_MEMBERS:
                continue
            killed_seeds = seeds if members < 1000 else few_seeds
            all_cases += [Case(protocol, members, seed, "killed", 10.0) for seed in killed_seeds]
            if members in (5, 40):
                all_cases += [Case(protocol, members, seed, "host down", 20.0) for seed in seeds]
    long_s = 300.0 if quick else 3600.0
    all_cases += [Case(MEMBERSHIP, 40, seed, "faults", long_s) for seed in few_seeds]
    all_cases += [Case(MEMBERSHIP, 1000, seed, "faults", 30.0) for seed in range(1, 3)]
    all_cases += [
        Case(protocol, 40, seed, "faults", 120.0) for protocol in PROTOCOLS[1:] for seed in range(1, 3)
    ]
    return sorted(all_cases, key=lambda case: -case.members * case.seconds)


def row(results: list[Result]) -> list[object]:
    """Return the table row for the results of one scenario, protocol and fleet size."""
    case = results[0].case
    times = [one_run.known_s for one_run in results]
    has_victim = case.scenario != "faults"
    return [
        case.scenario,
        case.protocol,
        case.members,
        len(results),
        f"{quantile(times, 0.5):.2f}" if has_victim else "",
        f"{quantile(times, 0.99):.2f}" if has_victim else "",
        sum(one_run.false_deaths for one_run in results),
        f"{sum(one_run.case.seconds for one_run in results) / 3600:.2f}",
        f"{sum(one_run.datagrams for one_run in results) / len(results):.1f}",
        f"{sum(one_run.octets for one_run in results) / len(results):.0f}",
    ]


def rows(results: Iterable[Result]) -> list[list[object]]:
    """Return the table rows for all results, grouped by scenario, protocol and fleet size."""
    grouped: dict[tuple[str, str, int], list[Result]] = {}
    for one_run in results:
        key = one_run.case.scenario, one_run.case.protocol, one_run.case.members
        grouped.setdefault(key, []).append(one_run)
    keys = [
        (scenario, protocol, members)
        for scenario in SCENARIOS
        for protocol in PROTOCOLS
        for members in FLEET_SIZES
    ]
    return [row(grouped[key]) for key in keys if key in grouped]


HEADINGS = [
    "scenario",
    "protocol",
    "members",
    "runs",
    "detection p50 s",
    "p99 s",
    "live members declared dead",
    "hours",
    "datagrams/s",
    "octets/s",
]


def main() -> None:
    """Run all cases and print the table."""
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_case, cases("--quick" in sys.argv)))
    print(table(HEADINGS, rows(results)))


if __name__ == "__main__":
    main()
