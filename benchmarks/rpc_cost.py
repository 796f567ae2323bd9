"""Compares the latency of a unary call through BalancedChannel with that on a plain grpc.aio channel.

    python -m benchmarks.rpc_cost [--calls 3000] [--rounds 5]

The servers run in a separate process. The two kinds of calls alternate, so that changes in the machine's
speed affect both.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import time
from statistics import median

import grpc

from benchmarks.rpc_side_by_side import Process
from benchmarks.table import table
from puffindeck.config.endpoint_list import Target
from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_environment import Stub, client_config, key_metadata


async def measure(calls: int, rounds: int) -> None:
    servers = await Process.start("benchmarks.rpc_parts", "servers", "--names", "one,two,three")
    ports = await servers.read()
    targets = [
        Target(name, "SERVING", f"127.0.0.1:{server_ports[0]}", "a", "m")
        for name, server_ports in ports.items()
    ]
    rows = []
    async with BalancedChannel(client_config(None, *targets)) as balanced:
        key = key_metadata("desk 7")
        name = (await Stub(balanced).status(b"x", metadata=key)).split(b":")[0].decode()
        async with grpc.aio.insecure_channel(f"127.0.0.1:{ports[name][0]}") as plain:
            stubs = {"bare": Stub(plain), "balanced": Stub(balanced)}
            for round_number in range(rounds + 1):  # round 0 is a warm-up
                durations_us: dict[str, list[float]] = {"bare": [], "balanced": []}
                gc.collect()
                for _ in range(calls):
                    for kind, stub in stubs.items():
                        start_s = time.perf_counter()
                        await stub.status(b"x", timeout=2, metadata=key)
                        durations_us[kind].append(1e6 * (time.perf_counter() - start_s))
                if round_number:
                    medians_us = {kind: median(times) for kind, times in durations_us.items()}
                    rows.append(
                        [
                            round_number,
                            f"{medians_us['bare']:.0f}",
                            f"{medians_us['balanced']:.0f}",
                            medians_us["balanced"] / medians_us["bare"],
                        ]
                    )
    await servers.end()
    print(f"unary calls, one at a time, {calls} of each kind per round; medians in microseconds\n")
    print(table(["round", "plain grpc.aio", "BalancedChannel", "ratio"], rows))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    asyncio.run(measure(options.calls, options.rounds))


if __name__ == "__main__":
    main()
