"""Stand-ins for the RPC plug-in's stories on loopback: boxes that speak gRPC, and discovery over HTTP."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import grpc
from grpc.aio import Metadata
from msgspec import to_builtins

from puffindeck.client_side.ring_smoothing import owner
from puffindeck.config.client import Client, Rpc, RpcTable, rpc
from puffindeck.config.members import Members, Target
from puffindeck.hashes import mixed
from puffindeck.interface import ClassSettings, Effect, Settings
from puffindeck.rpc.grpc import BalancedChannel
from puffindeck.service_discovery.keys import number

SERVICE = "exchange.Feed"
SETTINGS = Settings(
    classes=(
        ClassSettings(300, 1200, name="status"),
        ClassSettings(600, 2400, name="watch"),
        ClassSettings(300, 1200, effect=Effect.NOT_IDEMPOTENT, name="claim"),
    ),
    gateways=200,
    zone=0,
    max_attempts=3,
    drain_grace_ms=500,
    answer_slack_ms=20,
    slow_start_initial_fraction=0.31,
    slow_start_ms=9000,
    slow_start_load_multiple=3,
    slow_start_window_ms=1000,
    connect_timeout_ms=250,
    must_watch_endpoints=True,
    can_cancel=True,
    max_retry_after_ms=1500,
    zones=("a",),
    kinds=("m",),
)
METHODS = {f"/{SERVICE}/Watch": "watch", f"/{SERVICE}/Talk": "watch", f"/{SERVICE}/Claim": "claim"}


def told(discovery: int | None, *targets: Target, seed: int = 7, **more: Any) -> Client:
    """A checked configuration for a roster at a port of loopback, or for a list of its own."""
    checked: Rpc = rpc(RpcTable(methods=METHODS, **more), SETTINGS, Path())
    where = ("127.0.0.1", discovery) if discovery else None
    return Client("client", where, seed, Members(1, True, list(targets)), SETTINGS, checked)


class Box:
    """A server of the feed. What it does with a call is told by `mode`; what came is counted."""

    def __init__(self, name: str) -> None:
        self.name, self.port = name, 0
        self.mode = "serve"
        self.calls: list[str] = []  # the methods that were called, in their order
        self.metadata: list[dict[str, Any]] = []
        self.open: set[asyncio.Event] = set()  # one for each stream that stands: set, it ends
        self.given_up = 0
        self.standing = asyncio.Event()
        self.boot_ms = 0.0
        self.told: Callable[[], None] = lambda: None  # of each call that comes
        self._server: grpc.aio.Server | None = None

    async def start(self, credentials: grpc.ServerCredentials | None = None) -> Box:
        self._server = server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        handlers: dict[str, Any] = {
            "Status": grpc.unary_unary_rpc_method_handler(self._one),
            "Claim": grpc.unary_unary_rpc_method_handler(self._one),
            "Watch": grpc.unary_stream_rpc_method_handler(self._watch),
            "Upload": grpc.stream_unary_rpc_method_handler(self._upload),
            "Talk": grpc.stream_stream_rpc_method_handler(self._talk),
        }
        server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
        address = f"127.0.0.1:{self.port}"
        self.port = (
            server.add_secure_port(address, credentials)
            if credentials
            else (server.add_insecure_port(address))
        )
        await server.start()
        return self

    async def stop(self) -> None:
        """Die: what is open is cut off."""
        if self._server is not None:
            server, self._server = self._server, None
            await server.stop(0)

    async def restart(self) -> None:
        """Come back at the same port, cold from now on."""
        await self.stop()
        self.boot_ms = time.time() * 1000.0
        await self.start()

    def target(self, state: str = "SERVING") -> Target:
        return Target(self.name, state, f"127.0.0.1:{self.port}", "a", "m", 1, 1.0, self.boot_ms)

    async def _came(self, context: Any, what: str) -> None:
        self.calls.append(what)
        self.told()
        self.metadata.append(dict(context.invocation_metadata()))
        if self.mode == "mute":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.given_up += 1
                raise
        if self.mode == "full":
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "full")
        if self.mode == "moving":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "go away", (("puffindeck-moved", "1"),))
        if self.mode == "never":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "no", (("grpc-retry-pushback-ms", "-1"),))
        if self.mode != "serve":  # what it did is done, and then it answers with this
            await context.abort(getattr(grpc.StatusCode, self.mode), f"{self.name} says {self.mode}")

    async def _one(self, request: bytes, context: Any) -> bytes:
        await self._came(context, "one")
        context.set_trailing_metadata((("served-by", self.name),))
        return self.name.encode() + b":" + request

    async def _watch(self, request: bytes, context: Any) -> AsyncIterator[bytes]:
        await self._came(context, "watch")
        await context.send_initial_metadata((("served-by", self.name),))
        ended = asyncio.Event()
        self.open.add(ended)
        self.standing.set()
        try:
            yield self.name.encode()
            await ended.wait()
            yield b"last"
        finally:
            self.open.discard(ended)

    async def _upload(self, requests: AsyncIterator[bytes], context: Any) -> bytes:
        await self._came(context, "upload")
        return self.name.encode() + b":" + b",".join([message async for message in requests])

    async def _talk(self, requests: AsyncIterator[bytes], context: Any) -> AsyncIterator[bytes]:
        await self._came(context, "talk")
        await context.send_initial_metadata((("served-by", self.name),))
        async for message in requests:
            yield self.name.encode() + b":" + message


class Discovery:
    """The list of boxes and the watches on it, as PROTOCOL has them."""

    def __init__(self) -> None:
        self.rev, self.targets = 1, dict[str, Target]()
        self.port = self.asked = 0
        self.silent = False  # keeps watches open and says nothing
        self._server: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._beats: set[asyncio.Task[None]] = set()

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Out of reach: watches end, calls are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._watches):
            writer.close()
        self._watches.clear()
        for beat in self._beats:
            beat.cancel()

    def tell(self, *targets: Target) -> None:
        """Change these entries and tell all watches."""
        self.rev += 1
        for target in targets:
            self.targets[target.uid] = target
        line = self._text(False, targets)
        for writer in self._watches:
            self._chunk(writer, line)

    def _text(self, full: bool, targets: Any) -> bytes:
        listed = [to_builtins(t) for t in targets if not (full and t.state == "DELETED")]
        return json.dumps({"rev": self.rev, "all": full, "targets": listed}).encode() + b"\n"

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        self.asked += 1
        if b"watch=1" in head.split(b"\r\n")[0]:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self._text(True, self.targets.values()))
            self._watches.add(writer)
            beat = asyncio.get_running_loop().create_task(self._beat(writer))
            self._beats.add(beat)
            beat.add_done_callback(self._beats.discard)
        else:
            text = self._text(True, self.targets.values())
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (len(text), text)
            )
            writer.close()

    async def _beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2.0)
            if not self.silent:
                self._chunk(writer, b"\n")


class Stub:
    """What protoc would have made, with octets for messages."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self.status: Any = channel.unary_unary(f"/{SERVICE}/Status")
        self.claim: Any = channel.unary_unary(f"/{SERVICE}/Claim")
        self.watch: Any = channel.unary_stream(f"/{SERVICE}/Watch")
        self.upload: Any = channel.stream_unary(f"/{SERVICE}/Upload")
        self.talk: Any = channel.stream_stream(f"/{SERVICE}/Talk")


def keyed(key: str) -> Metadata:
    return Metadata(("puffindeck-key", key))


async def until(true: Callable[[], Any], why: str, seconds: float = 10.0) -> None:
    """Wait for something to become true; a story that waits in vain fails with the reason."""
    end = time.monotonic() + seconds
    while not true():
        if time.monotonic() > end:
            raise AssertionError(why)
        await asyncio.sleep(0.005)


class World:
    """Boxes, a roster and a channel, all ended when the story ends."""

    def __init__(self) -> None:
        self.boxes: dict[str, Box] = {}
        self.discovery = Discovery()
        self._endings: list[Callable[[], Awaitable[Any]]] = []

    async def serve(self, *names: str) -> None:
        for name in names:
            box = self.boxes[name] = await Box(name).start()
            self._endings.append(box.stop)
        await self.discovery.start()
        self._endings.append(self.discovery.stop)
        self.discovery.tell(*(box.target() for box in self.boxes.values()))

    def channel(self, **keywords: Any) -> BalancedChannel:
        client = keywords.pop("told", None) or told(self.discovery.port, **keywords.pop("rpc", {}))
        channel = BalancedChannel(client, **keywords)
        self._endings.append(channel.close)
        return channel

    async def end(self) -> None:
        for ending in reversed(self._endings):
            await ending()

    def count(self) -> dict[str, int]:
        return {name: len(box.calls) for name, box in self.boxes.items()}

    def key_of(self, channel: BalancedChannel, box: str) -> str:
        """A key whose home is this box, as the channel's own decisions have it."""
        shared = channel._started()[0]
        ring = shared.member.client_ring.full.ring_for(None)
        wanted = shared.directory.number(box)
        return next(
            key
            for key in (f"desk {i}" for i in range(10000))
            if owner(ring, mixed(number(key.encode())) >> 34) == wanted
        )
