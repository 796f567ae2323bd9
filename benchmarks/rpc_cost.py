"""What a unary call through BalancedChannel costs, against the same call on a bare grpc.aio channel.

    python -m benchmarks.rpc_cost [--calls 3000] [--rounds 5]

The server is a process of its own. The two take turns call by call, so that the machine's drift meets both.
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
    targets = [Target(name, "SERVING", f"127.0.0.1:{both[0]}", "a", "m") for name, both in ports.items()]
    rows = []
    async with BalancedChannel(client_config(None, *targets)) as balanced:
        key = key_metadata("desk 7")
        name = (await Stub(balanced).status(b"x", metadata=key)).split(b":")[0].decode()
        async with grpc.aio.insecure_channel(f"127.0.0.1:{ports[name][0]}") as bare:
            stubs = {"bare": Stub(bare), "balanced": Stub(balanced)}
            for turn in range(rounds + 1):  # the first warms up
                took: dict[str, list[float]] = {"bare": [], "balanced": []}
                gc.collect()
                for _ in range(calls):
                    for kind, stub in stubs.items():
                        began = time.perf_counter()
                        await stub.status(b"x", timeout=2, metadata=key)
                        took[kind].append(1e6 * (time.perf_counter() - began))
                if turn:
                    middle = {kind: median(times) for kind, times in took.items()}
                    rows.append(
                        [
                            turn,
                            f"{middle['bare']:.0f}",
                            f"{middle['balanced']:.0f}",
                            middle["balanced"] / middle["bare"],
                        ]
                    )
    await servers.end()
    print(f"unary calls, one at a time, {calls} of each kind a round; medians in microseconds\n")
    print(table(["round", "bare grpc.aio", "BalancedChannel", "ratio"], rows))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    asyncio.run(measure(options.calls, options.rounds))


if __name__ == "__main__":
    main()
