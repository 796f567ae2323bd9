"""The processes of rpc_side_by_side: servers of both wires, and clients of either. Not run by hand."""

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
from tests.support.rpc_environment import FeedServer, Stub, key_metadata


def report(value: Any) -> None:
    """Write a line of JSON to the driver."""
    print(json.dumps(value), flush=True)


async def commands() -> asyncio.StreamReader:
    """The driver's commands, line by line; at their end the process ends."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


# Servers


class TwoWireServer:
    """A server of the feed, with a second port for the daemon's lines. It records when calls arrive."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.feed = FeedServer(name)
        self.line_port = 0
        self.arrivals: list[tuple[float, str]] = []  # seconds since 1970, and the wire
        self._lines: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.feed.on_call = lambda: self.arrivals.append((time.time(), "grpc"))

    async def start(self) -> None:
        await self.feed.start()
        self._lines = await asyncio.start_server(self._serve, "127.0.0.1", self.line_port)
        self.line_port = self._lines.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._lines is not None:
            self._lines.close()
            for writer in list(self._writers):
                writer.transport.abort()
        await self.feed.stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if (await reader.readline()).startswith(b"OPEN "):
                self.arrivals.append((time.time(), "lines"))
                writer.write(b"UP " + self.name.encode() + b"\r\n")
                while line := await reader.readline():
                    writer.write(line)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def serve(options: argparse.Namespace) -> None:
    servers = {name: TwoWireServer(name) for name in options.names.split(",")}
    for server in servers.values():
        await server.start()
    report({name: [server.feed.port, server.line_port] for name, server in servers.items()})
    reader = await commands()
    while line := await reader.readline():
        command, _, name = line.decode().strip().partition(" ")
        if command == "stop":
            await servers[name].stop()
        elif command == "start":
            await servers[name].start()
        elif command == "clear":
            for server in servers.values():
                server.arrivals.clear()
        arrivals = {name: server.arrivals for name, server in servers.items()}
        report(arrivals if command == "report" else command)


# Clients


class Fleet:
    """Clients of one process. Each holds a connection with a key of its own, begun anew when it ends."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.random = Random(options.seed * 1000 + options.first)
        self.first: dict[str, str] = {}  # where a key was first served
        self.open: dict[str, str] = {}
        self.rejected = 0
        self.longest_ms = 0.0

    async def run(self) -> None:
        keys = Random(self.options.seed)
        wanted = [f"{keys.getrandbits(63):x}" for _ in range(self.options.first + self.options.count)]
        mine = wanted[self.options.first :]
        await self.prepare(len(mine))
        report("ready")
        reader = await commands()
        await reader.readline()
        tasks = [asyncio.ensure_future(self.client(i, key)) for i, key in enumerate(mine)]
        while len(self.first) < len(mine):
            await asyncio.sleep(0.01)
        report("open")
        await reader.readline()
        report(
            {"first": self.first, "open": self.open, "rejected": self.rejected, "longest_ms": self.longest_ms}
        )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def prepare(self, count: int) -> None:
        """What is no part of the measurement."""

    async def client(self, i: int, key: str) -> None:
        await asyncio.sleep(self.options.spread * i / self.options.count)
        await self.live(i, key)

    async def live(self, i: int, key: str) -> None:
        raise NotImplementedError

    def hold(self) -> float:
        """How long a connection is wanted, in seconds."""
        if self.options.once:
            return 0.02
        return self.random.expovariate(1 / self.options.churn) if self.options.churn else 1e6

    async def idle(self) -> None:
        """After the first connection has ended: for those that want no other."""
        if self.options.once:
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
        """Endpoint lists first: so many clients in one process would wait for each other, not for servers."""
        self.channels = [BalancedChannel.from_config(self.options.config, alone=True) for _ in range(count)]
        for channel in self.channels:
            await channel.channel_ready()

    async def live(self, i: int, key: str) -> None:
        async with self.channels[i] as channel:
            stub = Stub(channel)
            while True:
                began = time.monotonic()
                call = stub.watch(b"", metadata=key_metadata(key))
                try:
                    self.served(key, (await call.read()).decode(), began)
                    async with asyncio.timeout(self.hold()):
                        await call.read()
                except TimeoutError:
                    pass
                except AioRpcError as error:
                    self.rejected += key not in self.open
                    if error.code().name not in ("UNAVAILABLE", "DEADLINE_EXCEEDED"):
                        raise
                call.cancel()
                await self.ended(key)


class LineFleet(Fleet):
    """Clients of the daemon."""

    async def live(self, i: int, key: str) -> None:
        while True:
            began = time.monotonic()
            reader, writer = await asyncio.open_connection("127.0.0.1", self.options.port)
            writer.write(b"OPEN %016x %s c=watch,d=2400\r\n" % (self.random.getrandbits(63), key.encode()))
            answer = (await reader.readline()).decode().split()
            if answer[:1] == ["UP"]:
                self.served(key, answer[1], began)
                await self.stand(reader, writer)
            else:
                self.rejected += 1
            writer.close()
            await self.ended(key)

    async def stand(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a line each two seconds, until the connection is wanted no more, is migrated or breaks."""
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
    parser.add_argument("part", choices=["servers", "plugin", "lines"])
    parser.add_argument("--names", default="")
    parser.add_argument("--config", default="")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=0)
    parser.add_argument("--spread", type=float, default=2.0)
    parser.add_argument("--churn", type=float, default=0.0)
    parser.add_argument("--once", action="store_true")
    options = parser.parse_args()
    if options.part == "servers":
        asyncio.run(serve(options))
    else:
        fleet = PluginFleet if options.part == "plugin" else LineFleet
        asyncio.run(fleet(options).run())


if __name__ == "__main__":
    main()
