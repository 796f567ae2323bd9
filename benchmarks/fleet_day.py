"""A minute of five real processes with faults of all kinds, beside the same minute without any.

`python -m benchmarks.fleet_day`: hosts in three regions, four tenants, relays between all gateways. What is
counted is what hosts and clients saw.
"""

from __future__ import annotations

import signal
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.table import table
from puffindeck_testing.checker import connections_outside, connections_per_window, without_final_answer
from puffindeck_testing.world import World

REGIONS = {"e1": "north", "e2": "north", "e3": "south", "e4": "south", "e5": "east"}
ZONES = {"atlanta": 2, "memphis": 2, "birmingham": 2}
TENANTS = {"acme": "a1", "birch": "b2", "cedar": "c3"}
RULED = {"c3": {"atlanta"}}
LIMITS, WINDOW = {"acme": 80, "birch": 40}, 4
RATES = {"a1": 9.0, "b2": 3.0, "c3": 3.0, "0": 4.0}  # at each gateway, a second


def tables() -> dict[str, Any]:
    def group(name: str) -> list[list[dict[str, Any]]]:
        return [[{"on": "group", "is": [TENANTS[name]]}]]

    return {
        "quota": {
            "tenants": [{"name": name, "when": group(name)} for name in TENANTS],
            "limits": [{"tenant": name, "opens": n, "window": f"{WINDOW}s"} for name, n in LIMITS.items()],
            "skew": "100ms",
            "epoch": "1s",
        },
        "residency": {
            "version": 1,
            "stale": "refuse",
            "stale_after": "6s",
            "regions": {"north": ["atlanta"], "south": ["memphis"], "east": ["birmingham"]},
            "services": [{"name": "cedar", "when": group("cedar"), "allowed": ["north"]}],
        },
    }


def faults(world: World, begun: float) -> None:
    """What happens when."""

    def at(second: float) -> None:
        time.sleep(max(0.0, begun + second - time.monotonic()))

    at(5)
    for one, other in world.relays:
        world.set_faults(one, other, loss=0.3, copies=0.2, delay_s=(0.0, 0.2))
    at(13)
    for one, other in world.relays:
        world.set_faults(one, other, loss=0.0, copies=0.0, delay_s=(0.0, 0.0))
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"})
    at(22)
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"}, cut=False)
    at(26)
    world.send_signal("e3", signal.SIGKILL)
    at(30)
    world.start("e3", wait=False)
    at(34)
    world.send_signal("e4", signal.SIGSTOP)
    at(38)
    world.send_signal("e4", signal.SIGCONT)
    at(42)
    world.set_faults("e1", "e5", cut=True)
    at(48)
    world.set_faults("e1", "e5", cut=False)
    world.send_signal("e2", signal.SIGTERM)
    world.processes["e2"].wait(10)
    world.start("e2", wait=False)


def day(with_faults: bool) -> list[object]:
    world = World(Path(tempfile.mkdtemp(prefix="fleet-day-")), REGIONS, ZONES, seed=3, **tables())
    try:
        for name in REGIONS:
            world.start(name, wait=False)
        world.wait_until(world.all_alive, "all to know each other", 30)
        time.sleep(8)  # until rights are minted
        random, begun, told = Random(5), time.monotonic(), len(world.results)
        with ThreadPoolExecutor() as pool:
            script = pool.submit(faults, world, begun) if with_faults else None
            while (passed := time.monotonic() - begun) < 60:
                for name in REGIONS:
                    for group, rate in RATES.items():
                        if random.random() < rate * 0.02:
                            world.begin_client(name, group, hold_s=0.2)
                time.sleep(max(0.0, begun + passed + 0.02 - time.monotonic()))
            if script is not None:
                script.result()
        time.sleep(3)
        clients = world.results[told:]
        served = sum(client.answers[:1] != [] and client.answers[0].startswith("UP") for client in clients)
        excess = max(
            max(connections_per_window(world.connections, TENANTS[name], WINDOW).values()) - most
            for name, most in LIMITS.items()
        )
        strangers = sum(
            len(connections_outside(world.connections, group, zones)) for group, zones in RULED.items()
        )
        answered = [c for c in clients if c.answers[:1] != ["no connection"] and c.answers[:1] != ["reset"]]
        killed = sum(c.answers[:1] in (["reset"], ["closed"]) and c.gateway == "e3" for c in clients)
        wrong = [
            c for c in without_final_answer(answered) if c.answers[:1] != ["closed"] or c.gateway != "e3"
        ]
        return [
            "faults" if with_faults else "none",
            len(clients),
            served,
            f"{served / len(clients):.3f}",
            strangers,
            max(0, excess),
            len(wrong),
            killed,
        ]
    finally:
        world.close()


def main() -> None:
    with ThreadPoolExecutor() as pool:
        rows = list(pool.map(day, [False, True]))
    print(
        table(
            [
                "day",
                "clients",
                "served",
                "part",
                "outside a region",
                "strict excess",
                "without one final answer",
                "cut off by the SIGKILL",
            ],
            rows,
        )
    )


if __name__ == "__main__":
    main()
