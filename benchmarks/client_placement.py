"""Compares strategies to place one connection of each of many clients that share no state. Uses no sockets.

    python -m benchmarks.client_placement [--seeds 20] [--clients 600] [--servers 15]

Prints for each strategy:

- the fraction of keys that a gateway with all the connections places on the same server, for connections that
  end at once and for connections that stay open, with the default ring and with a smoothed ring
- the largest number of connections of a server as a multiple of the mean, without and with three servers in
  slow start
- the fraction of keys of the remaining servers that move when a server is removed
- the largest number of connections of a server in slow start within the first second

The header has the budget for that last figure. The last row is a random choice: each connection goes to a
server drawn with equal probability.
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

NOW_MS = 1.8e12
# Takes the endpoints, those of them that are in slow start, and the keys of the connections. Returns the
# endpoint of each connection.
Strategy = Callable[[list[int], list[int], list[int]], list[int]]


def full_list(endpoints: list[int], warming: list[int]) -> Event:
    """Return an endpoint list in which the endpoints of `warming` have just started."""
    return EndpointListUpdated(
        ListUpdateKind.FULL,
        1,
        [
            EndpointEntry(s, 0, 0, 0, EndpointStatus.READY, 1.0, NOW_MS if s in warming else 0.0)
            for s in endpoints
        ],
    )


def first_send(balancer: Balancer, now_ms: float, events: list[Event]) -> Send | None:
    """Return the first `Send` that the events cause, at once or at one of 19 retries 40 ms apart."""
    for step in range(20):
        for action in balancer.handle(now_ms + 40 * step, events):
            if isinstance(action, Send):
                return action
        events = []
    return None


def place_on_gateway(
    endpoints: list[int], warming: list[int], keys: list[int], evenness: float = 0.0, stay_open: bool = True
) -> list[int]:
    """Place all connections on a single gateway. They stay open, or end at once."""
    settings = replace(SETTINGS, gateways=1, evenness=evenness)
    balancer = SmoothedRingBalancer(settings, 1) if evenness else Balancer(settings, 1)
    balancer.handle(NOW_MS, [full_list(endpoints, warming)])
    placements = []
    for i, key in enumerate(keys):
        send = first_send(balancer, NOW_MS + i, [RequestArrived(i + 1, 0, 0, key, 1200, 0.0, 0)])
        placements.append(send.endpoint if send else 0)
        if send:
            balancer.handle(NOW_MS + i, [AttemptEstablished(send.request, send.endpoint, 5.0, 0)])
        if send and not stay_open:
            balancer.handle(NOW_MS + i, [AttemptEnded(send.request, Outcome.OK, send.endpoint, 0, True, 6.0)])
    return placements


def balancer_per_client(balancer_class: type[Balancer], evenness: float = 0.0) -> Strategy:
    """Return the strategy in which each client has its own balancer. They connect during one second."""

    def place(endpoints: list[int], warming: list[int], keys: list[int]) -> list[int]:
        placements = []
        for i, key in enumerate(keys):
            balancer = balancer_class(replace(SETTINGS, evenness=evenness), i)
            balancer.handle(NOW_MS, [full_list(endpoints, warming)])
            send = first_send(
                balancer, NOW_MS + 1000 * i / len(keys), [RequestArrived(1, 0, 0, key, 1200, 0.0, 0)]
            )
            placements.append(send.endpoint if send else 0)
        return placements

    return place


def ring_number(endpoint: int, repetition: int) -> int:
    """Return the number that a further set of the endpoint's ring positions is computed from."""
    return int.from_bytes(blake2b(b"%d %d" % (endpoint, repetition), digest_size=7).digest())


def with_points(times: int) -> Strategy:
    """Return the strategy on a ring with `times` as many points, without endpoints in slow start."""

    def positions(endpoint: int) -> list[int]:
        return [
            point
            for repetition in range(times)
            for point in ring_positions(ring_number(endpoint, repetition))
        ]

    def place(endpoints: list[int], warming: list[int], keys: list[int]) -> list[int]:
        owners = {point: s for s in endpoints if s not in warming for point in positions(s)}
        ring = Ring(sorted(owners), owners)
        return [owner(ring, mix64(key) >> 34) for key in keys]

    return place


def subset(size: int) -> Strategy:
    """Return the strategy with a deterministic subset by the client's number, from which the key selects."""

    def place(endpoints: list[int], warming: list[int], keys: list[int]) -> list[int]:
        warm = sorted(s for s in endpoints if s not in warming)
        placements = []
        for i, key in enumerate(keys):
            shuffle_seed, offset = divmod(i * size, len(warm))
            order = Random(shuffle_seed).sample(warm, len(warm))
            candidates = [order[(offset + k) % len(warm)] for k in range(size)]
            placements.append(max(candidates, key=lambda s: mix64(key ^ mix64(s))))
        return placements

    return place


def random_choice(endpoints: list[int], warming: list[int], keys: list[int]) -> list[int]:
    """Place each connection on a warm endpoint with equal probability."""
    warm = [s for s in endpoints if s not in warming]
    return [warm[mix64(key) % len(warm)] for key in keys]


STRATEGIES: list[tuple[str, Strategy]] = [
    ("the gateway's balancer in each client", balancer_per_client(Balancer)),
    ("4 times the ring points", with_points(4)),
    ("16 times the ring points", with_points(16)),
    ("a subset of 3 by the client's number", subset(3)),
    ("a subset of 5 by the client's number", subset(5)),
    *(
        (f"ring shares smoothed to {bound:g}", balancer_per_client(ClientBalancer, bound))
        for bound in (1.0, 1.03, 1.05, 1.1, 1.25)
    ),
    ("random choice", random_choice),
]


def main() -> None:
    """Compute the figures of all strategies and print them as a table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--clients", type=int, default=600)
    parser.add_argument("--servers", type=int, default=15)
    arguments = parser.parse_args()
    rows = []
    mean_connections = arguments.clients / arguments.endpoints
    budget = 3 * 0.31 * mean_connections / 9
    gateway_variants = [
        (evenness, stay_open) for evenness in (0.0, DEFAULT_EVENNESS) for stay_open in (False, True)
    ]
    for name, place in STRATEGIES:
        same_fractions: dict[tuple[float, bool], list[float]] = {variant: [] for variant in gateway_variants}
        largest, largest_with_warming, moved, most_at_warming = [], [], [], []
        for seed in range(arguments.seeds):
            random = Random(seed)
            endpoints = random.sample(range(1, 2**32), arguments.endpoints)
            keys = [random.getrandbits(63) for _ in range(arguments.clients)]
            placements = place(endpoints, [], keys)
            for (evenness, stay_open), fractions in same_fractions.items():
                by_gateway = place_on_gateway(endpoints, [], keys, evenness, stay_open)
                fractions.append(mean(a == b for a, b in zip(placements, by_gateway, strict=True)))
            largest.append(max(Counter(placements).values()) / mean_connections)
            after_removal = place(endpoints[1:], [], keys)
            at_remaining = [
                (a, b) for a, b in zip(placements, after_removal, strict=True) if a != endpoints[0]
            ]
            moved.append(mean(a != b for a, b in at_remaining))
            counts = Counter(place(endpoints, endpoints[:3], keys))
            largest_with_warming.append(max(counts[s] for s in endpoints) / mean_connections)
            most_at_warming.append(max(counts[s] for s in endpoints[:3]))
        rows.append(
            [
                name,
                *(mean(same_fractions[variant]) for variant in gateway_variants),
                mean(largest),
                max(largest),
                mean(largest_with_warming),
                max(largest_with_warming),
                mean(moved),
                mean(most_at_warming),
                max(most_at_warming),
            ]
        )
    print(
        f"{arguments.clients} clients with one connection each, {arguments.endpoints} servers, "
        f"{arguments.seeds} seeds; a server in slow start may get {budget:.1f} connections in its "
        "first second\n"
    )
    print(
        table(
            [
                "strategy",
                "same as gateway, short",
                "same as gateway, open",
                "same as smoothed gateway, short",
                "same as smoothed gateway, open",
                "largest/mean",
                "maximum",
                "largest/mean, 3 in slow start",
                "maximum",
                "moved needlessly",
                "most at a server in slow start",
                "maximum",
            ],
            rows,
        )
    )


if __name__ == "__main__":
    main()
