"""How soon a death is known to all, who is wrongly held to be dead, and what it costs.

`python -m benchmarks.membership`: virtual time, seeded; beside heartbeats to all with a time-out and SWIM as
first told, on the same network in the same run. `--quick` plays fewer seeds and shorter.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Any, NamedTuple

from benchmarks.table import table
from puffindeck_membership import Membership, News, Phase
from puffindeck_testing.baseline_protocols import FirstSwim, Heartbeats
from puffindeck_testing.virtual_network import Link, Net

WAYS = ("membership", "heartbeats to all", "SWIM as first told")
MOST_HEARTBEATS = 200  # members: at 1,000 they would send a million datagrams a second
SETTLE_MS = 4000.0


class Case(NamedTuple):
    """One play."""

    way: str
    members: int
    seed: int
    what: str  # killed, vanished, or troubled
    seconds: float


class Found(NamedTuple):
    """What came of it."""

    case: Case
    known_s: float  # until all knew of the death; infinite if some never did
    false: int  # living members that somebody declared dead
    datagrams: float  # a member a second
    octets: float


def network(case: Case) -> Net:
    net = Net(case.seed, Link(loss=0.3) if case.what == "troubled" else None)
    addresses = {f"m{i}": f"10.{i >> 8}.{i & 255}.1:7000" for i in range(case.members)}
    news = [News(name, Phase.ALIVE, 1, 1, at, "") for name, at in addresses.items()]
    for i, (name, at) in enumerate(addresses.items()):
        seed = case.seed * 10007 + i
        played: Any
        if case.way == "membership":
            played = Membership(name, at, life=1, seed=seed, known=news)
        else:
            played = (Heartbeats if case.way == "heartbeats to all" else FirstSwim)(name, addresses, seed)
        net.add(name, at, played)
    return net


def trouble(net: Net, random: Random, until: float) -> None:
    """Pauses of 4 s, each member's once in ten minutes, and as many one-sided cuts of a minute."""
    names = list(net.hosts)
    now = net.now
    while now < until - 5000:
        now += random.expovariate(len(names) / 600000.0)
        net.at(now, lambda: net.pause(random.choice(names), 4000.0))
    now = net.now
    while now < until:
        now += random.expovariate(len(names) / 600000.0)
        one, other = random.sample(names, 2)
        net.at(now, net.cut, one, other)
        net.at(now + 60000.0, net.cut, one, other, False)


def play(case: Case) -> Found:
    net = network(case)
    net.run(SETTLE_MS)
    for host in net.hosts.values():
        host.sent = host.octets = 0
    random = Random(case.seed)
    victim = ""
    if case.what == "troubled":
        trouble(net, random, net.now + case.seconds * 1000)
    else:
        victim = random.choice(list(net.hosts))
        net.kill(victim, machine=case.what == "vanished")
    begun = net.now
    net.run(begun + case.seconds * 1000)
    known: dict[str, float] = {}
    false = set()
    for when, who, change in net.changes:
        if change.news.phase == Phase.DEAD:
            if change.news.name == victim:
                known.setdefault(who, when)
            else:
                false.add((change.news.name, when // 10000))
    hosts = [host for host in net.hosts.values() if host.name != victim]
    all_know = len(known) == len(hosts)
    took = (max(known.values()) - begun) / 1000 if victim and all_know else float("inf")
    part = len(hosts) * case.seconds
    sent, octets = sum(host.sent for host in hosts), sum(host.octets for host in hosts)
    return Found(case, took, len(false), sent / part, octets / part)


def quantile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def cases(quick: bool) -> list[Case]:
    seeds = range(1, 5 if quick else 21)
    found = []
    for way in WAYS:
        for count in (5, 40, 200, 1000):
            if way == "heartbeats to all" and count > MOST_HEARTBEATS:
                continue
            some = seeds if count < 1000 else range(1, 3 if quick else 9)
            found += [Case(way, count, seed, "killed", 10.0) for seed in some]
            if count in (5, 40):
                found += [Case(way, count, seed, "vanished", 20.0) for seed in seeds]
    hour = 300.0 if quick else 3600.0
    found += [Case("membership", 40, seed, "troubled", hour) for seed in range(1, 3 if quick else 9)]
    found += [Case("membership", 1000, seed, "troubled", 30.0) for seed in range(1, 3)]
    found += [Case(way, 40, seed, "troubled", 120.0) for way in WAYS[1:] for seed in range(1, 3)]
    return sorted(found, key=lambda case: -case.members * case.seconds)


def main() -> None:
    quick = "--quick" in sys.argv
    with ProcessPoolExecutor() as pool:
        played = list(pool.map(play, cases(quick)))
    rows = []
    for what in ("killed", "vanished", "troubled"):
        for way in WAYS:
            for count in (5, 40, 200, 1000):
                some = [f for f in played if (f.case.what, f.case.way, f.case.members) == (what, way, count)]
                if not some:
                    continue
                times = [f.known_s for f in some]
                hours = sum(f.case.seconds for f in some) / 3600
                rows.append(
                    [
                        what,
                        way,
                        count,
                        len(some),
                        "" if what == "troubled" else f"{quantile(times, 0.5):.2f}",
                        "" if what == "troubled" else f"{quantile(times, 0.99):.2f}",
                        sum(f.false for f in some),
                        f"{hours:.2f}",
                        f"{sum(f.datagrams for f in some) / len(some):.1f}",
                        f"{sum(f.octets for f in some) / len(some):.0f}",
                    ]
                )
    print(
        table(
            [
                "what",
                "way",
                "members",
                "plays",
                "known p50 s",
                "p99 s",
                "living declared dead",
                "hours",
                "datagrams/s",
                "octets/s",
            ],
            rows,
        )
    )


if __name__ == "__main__":
    main()
