"""Runs five gateway processes for a minute with faults of many kinds, and for a minute without faults.

`python -m benchmarks.fleet_day` uses hosts in three regions, four groups of clients, and relays between all
gateways that inject faults. All results are counted from what hosts and clients observed.
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
from puffindeck_testing.clients import ClientResult
from puffindeck_testing.world import World

REGIONS = {"e1": "north", "e2": "north", "e3": "south", "e4": "south", "e5": "east"}
ZONES = {"atlanta": 2, "memphis": 2, "birmingham": 2}
TENANTS = {"acme": "a1", "birch": "b2", "cedar": "c3"}
ALLOWED_ZONES = {"c3": {"atlanta"}}  # allowed zones by group
LIMITS = {"acme": 80, "birch": 40}  # connections per window, by tenant
WINDOW_S = 4
RATES = {"a1": 9.0, "b2": 3.0, "c3": 3.0, "0": 4.0}  # clients per second at each gateway, by group
RUN_S = 60.0
STEP_S = 0.02  # interval between two random decisions whether clients arrive
CONNECTION_S = 0.2  # duration of a client's connection
FIRST_ALLOCATION_S = 8.0  # time until quotas have been allocated
LAST_ANSWERS_S = 3.0  # time until the last clients have received their answers


def tables() -> dict[str, Any]:
    """Return the configuration tables `[quota]` and `[residency]` of all gateways."""

    def group(name: str) -> list[list[dict[str, Any]]]:
        return [[{"on": "group", "is": [TENANTS[name]]}]]

    return {
        "quota": {
            "tenants": [{"name": name, "when": group(name)} for name in TENANTS],
            "limits": [{"tenant": name, "opens": n, "window": f"{WINDOW_S}s"} for name, n in LIMITS.items()],
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


def inject_faults(world: World, start_s: float) -> None:
    """Inject all faults on a fixed schedule, in seconds after `start_s` (by time.monotonic)."""

    def wait_until(second: float) -> None:
        time.sleep(max(0.0, start_s + second - time.monotonic()))

    wait_until(5)
    for one, other in world.relays:
        world.set_faults(one, other, loss=0.3, copies=0.2, delay_s=(0.0, 0.2))
    wait_until(13)
    for one, other in world.relays:
        world.set_faults(one, other, loss=0.0, copies=0.0, delay_s=(0.0, 0.0))
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"})
    wait_until(22)
    world.partition({"e1", "e2"}, {"e3", "e4", "e5"}, cut=False)
    wait_until(26)
    world.send_signal("e3", signal.SIGKILL)
    wait_until(30)
    world.start("e3", wait=False)
    wait_until(34)
    world.send_signal("e4", signal.SIGSTOP)
    wait_until(38)
    world.send_signal("e4", signal.SIGCONT)
    wait_until(42)
    world.set_faults("e1", "e5", cut=True)
    wait_until(48)
    world.set_faults("e1", "e5", cut=False)
    world.send_signal("e2", signal.SIGTERM)
    world.processes["e2"].wait(10)
    world.start("e2", wait=False)


def run_fleet(with_faults: bool) -> list[object]:
    """Run the fleet for one minute and return the table row of the run."""
    world = World(Path(tempfile.mkdtemp(prefix="fleet-day-")), REGIONS, ZONES, seed=3, **tables())
    try:
        for name in REGIONS:
            world.start(name, wait=False)
        world.wait_until(world.all_alive, "all gateways to know each other", 30)
        time.sleep(FIRST_ALLOCATION_S)
        random = Random(5)
        start_s = time.monotonic()
        first_client = len(world.results)
        with ThreadPoolExecutor() as pool:
            injection = pool.submit(inject_faults, world, start_s) if with_faults else None
            while (elapsed_s := time.monotonic() - start_s) < RUN_S:
                for name in REGIONS:
                    for group, rate in RATES.items():
                        if random.random() < rate * STEP_S:
                            world.begin_client(name, group, hold_s=CONNECTION_S)
                time.sleep(max(0.0, start_s + elapsed_s + STEP_S - time.monotonic()))
            if injection is not None:
                injection.result()
        time.sleep(LAST_ANSWERS_S)
        return result_row(with_faults, world, world.results[first_client:])
    finally:
        world.close()


def result_row(with_faults: bool, world: World, clients: list[ClientResult]) -> list[object]:
    """Return the table row of a run, from what hosts and clients observed."""
    served = sum(has_served(client) for client in clients)
    excess = max(
        max(connections_per_window(world.connections, TENANTS[name], WINDOW_S).values()) - limit
        for name, limit in LIMITS.items()
    )
    violations = sum(
        len(connections_outside(world.connections, group, zones)) for group, zones in ALLOWED_ZONES.items()
    )
    connected = [c for c in clients if c.answers[:1] != ["no connection"] and c.answers[:1] != ["reset"]]
    killed = sum(c.answers[:1] in (["reset"], ["closed"]) and c.gateway == "e3" for c in clients)
    unanswered = [
        client
        for client in without_final_answer(connected)
        if client.answers[:1] != ["closed"] or client.gateway != "e3"
    ]
    return [
        "with faults" if with_faults else "without faults",
        len(clients),
        served,
        f"{served / len(clients):.3f}",
        violations,
        max(0, excess),
        len(unanswered),
        killed,
    ]


def has_served(client: ClientResult) -> bool:
    """Return whether a host has served the client."""
    return client.answers[:1] != [] and client.answers[0].startswith("UP")


def main() -> None:
    """Run a fleet without faults and one with faults concurrently, and print the table."""
    with ThreadPoolExecutor() as pool:
        rows = list(pool.map(run_fleet, [False, True]))
    print(
        table(
            [
                "run",
                "clients",
                "served",
                "served fraction",
                "outside allowed regions",
                "excess over strict limits",
                "without one final answer",
                "disconnected by SIGKILL",
            ],
            rows,
        )
    )


if __name__ == "__main__":
    main()
