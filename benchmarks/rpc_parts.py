"""The server and client processes of rpc_side_by_side, which starts them.

Servers accept gRPC calls and the daemon's line protocol. Clients use the plug-in or the daemon.
"""

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
    """Write a line of JSON to the parent process."""
    print(json.dumps(value), flush=True)


async def command_reader() -> asyncio.StreamReader:
    """Return a reader of the parent process's commands, one per line."""
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


# Servers


class TwoProtocolServer:
    """A feed server with a second port for the daemon's line protocol. It records when calls arrive."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.feed = FeedServer(name)
        self.line_port = 0
        self.arrivals: list[tuple[float, str]] = []  # seconds since 1970, and the protocol
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
    servers = {name: TwoProtocolServer(name) for name in options.names.split(",")}
    for server in servers.values():
        await server.start()
    report({name: [server.feed.port, server.line_port] for name, server in servers.items()})
    reader = await command_reader()
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


class ClientGroup:
    """The clients of one process. Each has its own key, and reconnects when its connection ends."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.random = Random(options.seed * 1000 + options.first)
        self.first: dict[str, str] = {}  # the server that first served each key
        self.open: dict[str, str] = {}  # the servers of open connections, by key
        self.rejected = 0
        self.longest_ms = 0.0

    async def run(self) -> None:
        keys = Random(self.options.seed)
        all_keys = [f"{keys.getrandbits(63):x}" for _ in range(self.options.first + self.options.count)]
        own_keys = all_keys[self.options.first :]
        await self.prepare(len(own_keys))
        report("ready")
        reader = await command_reader()
        await reader.readline()
        tasks = [asyncio.ensure_future(self.client(i, key)) for i, key in enumerate(own_keys)]
        while len(self.first) < len(own_keys):
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
        """Prepare `count` clients before the measurement."""

    async def client(self, i: int, key: str) -> None:
        await asyncio.sleep(self.options.spread * i / self.options.count)
        await self.run_client(i, key)

    async def run_client(self, i: int, key: str) -> None:
        raise NotImplementedError

    def connection_duration(self) -> float:
        """Return how long a connection is to be used, in seconds."""
        if self.options.once:
            return 0.02
        return self.random.expovariate(1 / self.options.churn) if self.options.churn else 1e6

    async def wait_if_once(self) -> None:
        """Wait forever after the first connection if `--once` is given."""
        if self.options.once:
            await asyncio.Event().wait()

    def served(self, key: str, name: str, start_s: float) -> None:
        self.first.setdefault(key, name)
        self.open[key] = name
        self.longest_ms = max(self.longest_ms, 1000 * (time.monotonic() - start_s))

    async def ended(self, key: str) -> None:
        self.open.pop(key, None)
        await self.wait_if_once()
        await asyncio.sleep(0.05 + 0.2 * self.random.random())


class PluginClients(ClientGroup):
    """Clients with the plug-in, which place their own streams and share no state."""

    async def prepare(self, count: int) -> None:
        """Create all channels and load their endpoint lists.

        Otherwise the clients of this process would wait for each other rather than for servers.
        """
        self.channels = [BalancedChannel.from_config(self.options.config, alone=True) for _ in range(count)]
        for channel in self.channels:
            await channel.channel_ready()

    async def run_client(self, i: int, key: str) -> None:
        async with self.channels[i] as channel:
            stub = Stub(channel)
            while True:
                start_s = time.monotonic()
                call = stub.watch(b"", metadata=key_metadata(key))
                try:
                    self.served(key, (await call.read()).decode(), start_s)
                    async with asyncio.timeout(self.connection_duration()):
                        await call.read()
                except TimeoutError:
                    pass
                except AioRpcError as error:
                    self.rejected += key not in self.open
                    if error.code().name not in ("UNAVAILABLE", "DEADLINE_EXCEEDED"):
                        raise
                call.cancel()
                await self.ended(key)


class LineClients(ClientGroup):
    """Clients of the daemon, which use its line protocol."""

    async def run_client(self, i: int, key: str) -> None:
        while True:
            start_s = time.monotonic()
            reader, writer = await asyncio.open_connection("127.0.0.1", self.options.port)
            writer.write(b"OPEN %016x %s c=watch,d=2400\r\n" % (self.random.getrandbits(63), key.encode()))
            answer = (await reader.readline()).decode().split()
            if answer[:1] == ["UP"]:
                self.served(key, answer[1], start_s)
                await self.use_connection(reader, writer)
            else:
                self.rejected += 1
            writer.close()
            await self.ended(key)

    async def use_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a line every two seconds until the connection's time is over, or it is migrated or breaks."""
        end = time.monotonic() + self.connection_duration()
        while (remaining_s := end - time.monotonic()) > 0:
            try:
                writer.write(b"still here\r\n")
                async with asyncio.timeout(min(2.0, remaining_s)):
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
        client_type = PluginClients if options.part == "plugin" else LineClients
        asyncio.run(client_type(options).run())


if __name__ == "__main__":
    main()
