"""The processes of rpc_side_by_side: boxes that speak both wires, and clients of either. Not run by hand."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from random import Random
from typing import Any

from grpc.aio import AioRpcError

from puffindeck.rpc.grpc import BalancedChannel
from tests.support.rpc_world import Box, Stub, keyed


def say(what: Any) -> None:
    print(json.dumps(what), flush=True)


async def commands() -> asyncio.StreamReader:
    """What the driver writes to us, line by line; its end is ours."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


# Boxes


class Both:
    """A box, with a second port for the daemon's lines. Arrivals are kept with their times."""

    def __init__(self, name: str) -> None:
        self.name, self.box, self.line_port = name, Box(name), 0
        self.came: list[tuple[float, str]] = []
        self._lines: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.box.told = lambda: self.came.append((time.time(), "grpc"))

    async def start(self) -> None:
        await self.box.start()
        self._lines = await asyncio.start_server(self._serve, "127.0.0.1", self.line_port)
        self.line_port = self._lines.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._lines is not None:
            self._lines.close()
            for writer in list(self._writers):
                writer.transport.abort()
        await self.box.stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if (await reader.readline()).startswith(b"OPEN "):
                self.came.append((time.time(), "lines"))
                writer.write(b"UP " + self.name.encode() + b"\r\n")
                while line := await reader.readline():
                    writer.write(line)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def boxes(told: argparse.Namespace) -> None:
    all_of = {name: Both(name) for name in told.names.split(",")}
    for box in all_of.values():
        await box.start()
    say({name: [box.box.port, box.line_port] for name, box in all_of.items()})
    reader = await commands()
    while line := await reader.readline():
        word, _, name = line.decode().strip().partition(" ")
        if word == "stop":
            await all_of[name].stop()
        elif word == "start":
            await all_of[name].start()
        elif word == "clear":
            for box in all_of.values():
                box.came.clear()
        say({name: box.came for name, box in all_of.items()} if word == "report" else word)


# Clients


class Fleet:
    """Clients of one process. Each holds a connection with a key of its own, begun anew when it ends."""

    def __init__(self, told: argparse.Namespace) -> None:
        self.told = told
        self.random = Random(told.seed * 1000 + told.first)
        self.first: dict[str, str] = {}  # where a key was first served
        self.open: dict[str, str] = {}
        self.refused = 0
        self.longest_ms = 0.0

    async def run(self) -> None:
        keys = Random(self.told.seed)
        wanted = [f"{keys.getrandbits(63):x}" for _ in range(self.told.first + self.told.count)]
        mine = wanted[self.told.first :]
        await self.prepare(len(mine))
        say("ready")
        reader = await commands()
        await reader.readline()
        tasks = [asyncio.ensure_future(self.client(i, key)) for i, key in enumerate(mine)]
        while len(self.first) < len(mine):
            await asyncio.sleep(0.01)
        say("open")
        await reader.readline()
        say({"first": self.first, "open": self.open, "refused": self.refused, "longest_ms": self.longest_ms})
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def prepare(self, count: int) -> None:
        """What is no part of the measurement."""

    async def client(self, i: int, key: str) -> None:
        await asyncio.sleep(self.told.spread * i / self.told.count)
        await self.live(i, key)

    async def live(self, i: int, key: str) -> None:
        raise NotImplementedError

    def hold(self) -> float:
        """How long a connection is wanted, in seconds."""
        if self.told.once:
            return 0.02
        return self.random.expovariate(1 / self.told.churn) if self.told.churn else 1e6

    async def idle(self) -> None:
        """After the first connection has ended: for those that want no other."""
        if self.told.once:
            await asyncio.Event().wait()

    def served(self, key: str, name: str, began: float) -> None:
        self.first.setdefault(key, name)
        self.open[key] = name
        self.longest_ms = max(self.longest_ms, 1000 * (time.monotonic() - began))

    async def ended(self, key: str) -> None:
        self.open.pop(key, None)
        await self.idle()
        await asyncio.sleep(0.05 + 0.2 * self.random.random())


class PluginFleet(Fleet):
    """Clients that place their own streams, none knowing of another."""

    async def prepare(self, count: int) -> None:
        """Rosters first: so many clients in one process would wait for each other, not for boxes."""
        self.channels = [BalancedChannel.from_config(self.told.config, alone=True) for _ in range(count)]
        for channel in self.channels:
            await channel.channel_ready()

    async def live(self, i: int, key: str) -> None:
        async with self.channels[i] as channel:
            stub = Stub(channel)
            while True:
                began = time.monotonic()
                call = stub.watch(b"", metadata=keyed(key))
                try:
                    self.served(key, (await call.read()).decode(), began)
                    async with asyncio.timeout(self.hold()):
                        await call.read()
                except TimeoutError:
                    pass
                except AioRpcError as error:
                    self.refused += key not in self.open
                    if error.code().name not in ("UNAVAILABLE", "DEADLINE_EXCEEDED"):
                        raise
                call.cancel()
                await self.ended(key)


class LineFleet(Fleet):
    """Clients of the daemon."""

    async def live(self, i: int, key: str) -> None:
        while True:
            began = time.monotonic()
            reader, writer = await asyncio.open_connection("127.0.0.1", self.told.port)
            writer.write(b"OPEN %016x %s c=watch,d=2400\r\n" % (self.random.getrandbits(63), key.encode()))
            answer = (await reader.readline()).decode().split()
            if answer[:1] == ["UP"]:
                self.served(key, answer[1], began)
                await self.stand(reader, writer)
            else:
                self.refused += 1
            writer.close()
            await self.ended(key)

    async def stand(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Say something each two seconds, until it is wanted no more, is moved or breaks."""
        end = time.monotonic() + self.hold()
        while (left := end - time.monotonic()) > 0:
            try:
                writer.write(b"still here\r\n")
                async with asyncio.timeout(min(2.0, left)):
                    while line := await reader.readline():
                        if line.startswith(b"MOVE"):
                            return
                    return
            except TimeoutError:
                continue
            except ConnectionError:
                return


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=["boxes", "plugin", "lines"])
    parser.add_argument("--names", default="")
    parser.add_argument("--config", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--spread", type=float, default=2.0)
    parser.add_argument("--churn", type=float, default=0.0)
    parser.add_argument("--once", action="store_true")
    told = parser.parse_args()
    if told.part == "boxes":
        asyncio.run(boxes(told))
    else:
        asyncio.run((PluginFleet if told.part == "plugin" else LineFleet)(told).run())


if __name__ == "__main__":
    main()
