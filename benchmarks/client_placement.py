"""The ways to place one connection each from many clients that share nothing, without any sockets.

    python -m benchmarks.client_placement [--seeds 20] [--clients 600] [--servers 15]

For each way: the share of keys that a gateway with all the connections puts on the same server (they end at
once, or stand, so that it evens out what luck brings; its ring as points fall, or smoothed), the fullest
server's connections by the mean (calm, and with three servers that have just started), the part of keys
that move without need when a server leaves, and connections at the fullest cold server within the first
second against what the rule allows. The last line is plain luck: each connection to a server drawn evenly.
"""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from random import Random
from statistics import mean

from benchmarks.table import table
from puffindeck.client_side import ClientBalancer
from puffindeck.client_side.ring_smoothing import owner
from puffindeck.client_side.smoothed_ring import DEFAULT_EVENNESS, SmoothedRingBalancer
from puffindeck.hashes import mix64, ring_positions
from puffindeck.interface import (
    AttemptEnded,
    AttemptEstablished,
    EndpointEntry,
    EndpointListUpdated,
    EndpointStatus,
    Event,
    ListUpdateKind,
    Outcome,
    RequestArrived,
    Send,
)
from puffindeck.policy import Balancer
from puffindeck.policy.hash_ring import Ring
from tests.support.client_settings import SETTINGS

NOW = 1.8e12
# servers, those of them that are cold, and keys; the server that each key goes to
Way = Callable[[list[int], list[int], list[int]], list[int]]


def listed(endpoints: list[int], cold: list[int]) -> Event:
    return EndpointListUpdated(
        ListUpdateKind.FULL,
        1,
        [EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 1.0, NOW if s in cold else 0.0) for s in endpoints],
    )


def sent(balancer: Balancer, at: float, events: list[Event]) -> Send | None:
    """What the events bring, or what the next walks within the patience do."""
    for step in range(20):
        for action in balancer.handle(at + 40 * step, events):
            if isinstance(action, Send):
                return action
        events = []
    return None


def gateway(
    endpoints: list[int], cold: list[int], keys: list[int], evenness: float = 0.0, stand: bool = True
) -> list[int]:
    """One gateway that gets all the connections, as the daemon does; they stand, or end at once."""
    told = replace(SETTINGS, gateways=1, evenness=evenness)
    one = SmoothedRingBalancer(told, 1) if evenness else Balancer(told, 1)
    one.handle(NOW, [listed(endpoints, cold)])
    found = []
    for i, key in enumerate(keys):
        send = sent(one, NOW + i, [RequestArrived(i + 1, 0, 0, key, 1200, 0.0, 0)])
        found.append(send.endpoint if send else 0)
        if send:
            one.handle(NOW + i, [AttemptEstablished(send.request, send.endpoint, 5.0, 0)])
        if send and not stand:
            one.handle(NOW + i, [AttemptEnded(send.request, Outcome.OK, send.endpoint, 0, True, 6.0)])
    return found


def each_alone(kind: type[Balancer], evenness: float = 0.0) -> Way:
    """A client a key, each with decisions of its own; they come spread over the first second."""

    def way(endpoints: list[int], cold: list[int], keys: list[int]) -> list[int]:
        found = []
        for i, key in enumerate(keys):
            one = kind(replace(SETTINGS, evenness=evenness), i)
            one.handle(NOW, [listed(endpoints, cold)])
            send = sent(one, NOW + 1000 * i / len(keys), [RequestArrived(1, 0, 0, key, 1200, 0.0, 0)])
            found.append(send.endpoint if send else 0)
        return found

    return way


def ring_number(endpoint: int, turn: int) -> int:
    """A number of the endpoint's own for each set of its points on the ring."""
    return int.from_bytes(blake2b(b"%d %d" % (endpoint, turn), digest_size=7).digest())


def with_points(times: int) -> Way:
    """More points on the ring, cold servers passed by."""

    def drawn(endpoint: int) -> list[int]:
        return [point for turn in range(times) for point in ring_positions(ring_number(endpoint, turn))]

    def way(endpoints: list[int], cold: list[int], keys: list[int]) -> list[int]:
        owners = {point: s for s in endpoints if s not in cold for point in drawn(s)}
        ring = Ring(sorted(owners), owners)
        return [owner(ring, mix64(key) >> 34) for key in keys]

    return way


def subset(size: int) -> Way:
    """A deterministic subset by the client's number (the aperture): the key chooses within it."""

    def way(endpoints: list[int], cold: list[int], keys: list[int]) -> list[int]:
        warm = sorted(s for s in endpoints if s not in cold)
        found = []
        for i, key in enumerate(keys):
            turn, place = divmod(i * size, len(warm))
            order = Random(turn).sample(warm, len(warm))
            some = [order[(place + k) % len(warm)] for k in range(size)]
            found.append(max(some, key=lambda s: mix64(key ^ mix64(s))))
        return found

    return way


def luck(endpoints: list[int], cold: list[int], keys: list[int]) -> list[int]:
    warm = [s for s in endpoints if s not in cold]
    return [warm[mix64(key) % len(warm)] for key in keys]


WAYS: list[tuple[str, Way]] = [
    ("the module as a gateway has it", each_alone(Balancer)),
    ("4 times the points", with_points(4)),
    ("16 times the points", with_points(16)),
    ("a subset of 3 by the client's number", subset(3)),
    ("a subset of 5 by the client's number", subset(5)),
    *(
        (f"shares of the ring evened to {bound:g}", each_alone(ClientBalancer, bound))
        for bound in (1.0, 1.03, 1.05, 1.1, 1.25)
    ),
    ("plain luck on even shares", luck),
]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--clients", type=int, default=600)
    parser.add_argument("--servers", type=int, default=15)
    told = parser.parse_args()
    rows = []
    usual = told.clients / told.endpoints
    budget = 3 * 0.31 * usual / 9
    daemons = [(evenness, stand) for evenness in (0.0, DEFAULT_EVENNESS) for stand in (False, True)]
    for name, way in WAYS:
        alike: dict[tuple[float, bool], list[float]] = {daemon: [] for daemon in daemons}
        calm, chilled, moved, coldest = [], [], [], []
        for seed in range(told.seeds):
            random = Random(seed)
            endpoints = random.sample(range(1, 2**32), told.endpoints)
            keys = [random.getrandbits(63) for _ in range(told.clients)]
            chosen = way(endpoints, [], keys)
            for (evenness, stand), found in alike.items():
                by_one = gateway(endpoints, [], keys, evenness, stand)
                found.append(mean(a == b for a, b in zip(chosen, by_one, strict=True)))
            calm.append(max(Counter(chosen).values()) / usual)
            left = way(endpoints[1:], [], keys)
            stayed = [(a, b) for a, b in zip(chosen, left, strict=True) if a != endpoints[0]]
            moved.append(mean(a != b for a, b in stayed))
            counts = Counter(way(endpoints, endpoints[:3], keys))
            chilled.append(max(counts[s] for s in endpoints) / usual)
            coldest.append(max(counts[s] for s in endpoints[:3]))
        rows.append(
            [
                name,
                *(mean(alike[daemon]) for daemon in daemons),
                mean(calm),
                max(calm),
                mean(chilled),
                max(chilled),
                mean(moved),
                mean(coldest),
                max(coldest),
            ]
        )
    print(
        f"{told.clients} clients of one connection, {told.endpoints} servers, {told.seeds} seeds; a cold "
        f"server may get {budget:.1f} connections in its first second\n"
    )
    print(
        table(
            [
                "way",
                "alike, short",
                "alike, standing",
                "evened: short",
                "evened: standing",
                "fullest/mean",
                "worst",
                "with 3 cold",
                "worst",
                "moved without need",
                "at the fullest cold one",
                "worst",
            ],
            rows,
        )
    )


if __name__ == "__main__":
    main()
