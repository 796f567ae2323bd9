"""How soon a death is known to all members, which living ones are declared dead, and the protocol's cost.

`python -m benchmarks.membership` runs on virtual time with seeds, and compares with heartbeats to all and
with SWIM without suspicions on the same network. `--quick` runs fewer seeds and shorter.
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
SCENARIOS = ("killed", "vanished", "troubled")
FLEET_SIZES = (5, 40, 200, 1000)
MAX_HEARTBEAT_MEMBERS = 200  # at 1,000 they would send a million datagrams a second
SETTLE_MS = 4000.0
FAULT_INTERVAL_MS = 600000.0  # mean time between two pauses, and between two cuts, of one member
PAUSE_MS = 4000.0
CUT_MS = 60000.0
FALSE_DEATH_BUCKET_MS = 10000  # declarations about one member within it count once


class Case(NamedTuple):
    """One run."""

    protocol: str
    members: int
    seed: int
    scenario: str
    seconds: float


class Result(NamedTuple):
    """The figures of one run."""

    case: Case
    known_s: float  # until all members know of the death; infinite if some never do
    false_deaths: int  # living members that were declared dead
    datagrams: float  # a member a second
    octets: float  # a member a second


def network(case: Case) -> VirtualNetwork:
    """The members of a case, which know each other."""
    net = VirtualNetwork(case.seed, Link(loss=0.3) if case.scenario == "troubled" else None)
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
    """Schedule pauses of 4 s, one a member in ten minutes, and as many one-sided cuts of a minute."""
    names = list(net.hosts)
    faults_per_ms = len(names) / FAULT_INTERVAL_MS
    at_ms = net.now
    while at_ms < until_ms - 5000:
        at_ms += random.expovariate(faults_per_ms)
        net.at(at_ms, lambda: net.pause(random.choice(names), PAUSE_MS))
    at_ms = net.now
    while at_ms < until_ms:
        at_ms += random.expovariate(faults_per_ms)
        one, other = random.sample(names, 2)
        net.at(at_ms, net.cut, one, other)
        net.at(at_ms + CUT_MS, net.cut, one, other, False)


def run_case(case: Case) -> Result:
    """Run one case."""
    net = network(case)
    net.run(SETTLE_MS)
    for host in net.hosts.values():
        host.sent = host.octets = 0
    random = Random(case.seed)
    victim = ""
    if case.scenario == "troubled":
        schedule_faults(net, random, net.now + case.seconds * 1000)
    else:
        victim = random.choice(list(net.hosts))
        net.kill(victim, machine=case.scenario == "vanished")
    begin_ms = net.now
    net.run(begin_ms + case.seconds * 1000)
    return result(case, net, victim, begin_ms)


def result(case: Case, net: VirtualNetwork, victim: str, begin_ms: float) -> Result:
    """The figures of a run that is over. `victim` is empty if no member was killed."""
    known_ms: dict[str, float] = {}  # by the member that knows of the victim's death
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
    """The value below which that fraction of all values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def cases(quick: bool) -> list[Case]:
    """All cases, the longest first."""
    seeds = range(1, 5 if quick else 21)
    few_seeds = range(1, 3 if quick else 9)
    found = []
    for protocol in PROTOCOLS:
        for members in FLEET_SIZES:
            if protocol == HEARTBEATS and members > MAX_HEARTBEAT_MEMBERS:
                continue
            killed_seeds = seeds if members < 1000 else few_seeds
            found += [Case(protocol, members, seed, "killed", 10.0) for seed in killed_seeds]
            if members in (5, 40):
                found += [Case(protocol, members, seed, "vanished", 20.0) for seed in seeds]
    long_s = 300.0 if quick else 3600.0
    found += [Case(MEMBERSHIP, 40, seed, "troubled", long_s) for seed in few_seeds]
    found += [Case(MEMBERSHIP, 1000, seed, "troubled", 30.0) for seed in range(1, 3)]
    found += [
        Case(protocol, 40, seed, "troubled", 120.0) for protocol in PROTOCOLS[1:] for seed in range(1, 3)
    ]
    return sorted(found, key=lambda case: -case.members * case.seconds)


def row(results: list[Result]) -> list[object]:
    """The table row of the results of one scenario, protocol and fleet size."""
    case = results[0].case
    times = [found.known_s for found in results]
    has_victim = case.scenario != "troubled"
    return [
        case.scenario,
        case.protocol,
        case.members,
        len(results),
        f"{quantile(times, 0.5):.2f}" if has_victim else "",
        f"{quantile(times, 0.99):.2f}" if has_victim else "",
        sum(found.false_deaths for found in results),
        f"{sum(found.case.seconds for found in results) / 3600:.2f}",
        f"{sum(found.datagrams for found in results) / len(results):.1f}",
        f"{sum(found.octets for found in results) / len(results):.0f}",
    ]


def rows(results: Iterable[Result]) -> list[list[object]]:
    """The table rows of all results."""
    grouped: dict[tuple[str, str, int], list[Result]] = {}
    for found in results:
        key = found.case.scenario, found.case.protocol, found.case.members
        grouped.setdefault(key, []).append(found)
    keys = [
        (scenario, protocol, members)
        for scenario in SCENARIOS
        for protocol in PROTOCOLS
        for members in FLEET_SIZES
    ]
    return [row(grouped[key]) for key in keys if key in grouped]


HEAD = [
    "scenario",
    "protocol",
    "members",
    "runs",
    "known p50 s",
    "p99 s",
    "living declared dead",
    "hours",
    "datagrams/s",
    "octets/s",
]


def main() -> None:
    """Run all cases and print the table."""
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_case, cases("--quick" in sys.argv)))
    print(table(HEAD, rows(results)))


if __name__ == "__main__":
    main()
