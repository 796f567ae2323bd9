"""Processor time of the decision module per connection, measured through the simulator's protocol.

    python -m benchmarks.decision_cost [--beside TREE] [--connections 4000] [--rounds 5]

Each measurement runs `python -m puffindeck.benchlink` in a new process, which gets one session: an endpoint
list, then connections that are requested, become established, report their load and end. The time of a
session without connections is subtracted. With `--beside`, another checkout is measured alternately with this
one.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from statistics import median
from struct import pack

from benchmarks.table import table
from tests.simulator.settings_table import KNOWN_SETTINGS

ROOT = Path(__file__).parent.parent
ENDPOINT_COUNTS = (15, 10_000)
CONCURRENT_CONNECTIONS = 200  # open at the same time
ARRIVAL_INTERVAL_MS = 2.0  # simulated time between two arrivals
SETTINGS = KNOWN_SETTINGS | {"peersTotal": 4}


def record(code: int, data: bytes) -> bytes:
    """Return an encoded record of a batch."""
    return pack("<BI", code, len(data)) + data


def batch(number: int, now_ms: float, records: list[bytes]) -> bytes:
    """Return an encoded batch of records."""
    body = b"".join(records)
    return pack("<IIdI", len(body) + 16, len(records), now_ms, number) + body


def start_records(endpoints: int) -> list[bytes]:
    """Return the records that start an instance with a list of `endpoints` endpoints."""
    settings = json.dumps(SETTINGS).encode()
    rows = [pack("<IHBHBfd", 1 + number, 0, 0, 0, 1, 1.0, 0.0) for number in range(endpoints)]
    return [
        record(12, pack("<H", 0)),
        record(0, pack("<QI", 7, len(settings)) + settings),
        record(1, pack("<BII", 2, 1, len(rows)) + b"".join(rows)),
    ]


def session(endpoints: int, connections: int) -> bytes:
    """Return the encoded batches of a session.

    The placement of a connection is unknown here. Therefore all outcomes name the first endpoint.
    """
    random = Random(1)
    batches = [batch(1, 1000.0, start_records(endpoints))]
    for number in range(connections):
        now_ms = 1000.0 + ARRIVAL_INTERVAL_MS * (number + 1)
        records = [record(12, pack("<H", 0))]
        request = 1 + number
        key = random.getrandbits(64)
        records.append(record(2, pack("<IBHQddQB", request, 0, 0, key, 1200.0, 5.0, 0, 1)))
        if number:
            records.append(record(3, pack("<IIdB", request - 1, 1, ARRIVAL_INTERVAL_MS, 0)))
            records.append(record(11, pack("<IBIBf", request - 1, 0, 1, 1, 5.0 + random.random())))
        if number > CONCURRENT_CONNECTIONS:
            records.append(record(4, pack("<IBIBBd", request - CONCURRENT_CONNECTIONS, 1, 1, 0, 1, 400.0)))
        batches.append(batch(2 + number, now_ms, records))
    return b"".join(batches)


def processor_seconds(tree: Path, encoded_session: bytes) -> float:
    """Return the user time, in seconds, of a process of a checkout that handles a session.

    Raises RuntimeError if the process fails.
    """
    with tempfile.TemporaryFile() as source:
        source.write(encoded_session)
        source.seek(0)
        process = subprocess.Popen(
            [sys.executable, "-m", "puffindeck.benchlink"],
            cwd=tree,
            stdin=source,
            stdout=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
        )
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
    if process.returncode:
        raise RuntimeError(f"{tree}: the session ended with {process.returncode}")
    return usage.ru_utime


def measure(trees: list[Path], connections: int, rounds: int) -> None:
    """Print the microseconds per connection for each number of endpoints."""
    rows = []
    for endpoints in ENDPOINT_COUNTS:
        empty, full = session(endpoints, 0), session(endpoints, connections)
        costs: dict[Path, list[float]] = {tree: [] for tree in trees}
        for _ in range(rounds):
            for tree, tree_costs in costs.items():
                spent = processor_seconds(tree, full) - processor_seconds(tree, empty)
                tree_costs.append(1e6 * spent / connections)
        medians = [median(costs[tree]) for tree in trees]
        rows.append([endpoints, *(f"{cost:.1f}" for cost in medians), medians[0] / medians[-1]])
    heads = ["this tree", "other tree"][: len(trees)]
    print(
        f"microseconds of processor time per connection: {connections} connections, "
        f"medians of {rounds} rounds\n"
    )
    print(table(["endpoints", *heads, "ratio"], rows))


def main() -> None:
    """Read the arguments and measure."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--beside", type=Path)
    parser.add_argument("--connections", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    measure(
        [ROOT, *([arguments.beside.resolve()] if arguments.beside else [])],
        arguments.connections,
        arguments.rounds,
    )


if __name__ == "__main__":
    main()
