"""Test environment for the RPC plug-in on loopback: gRPC servers, and a discovery service over HTTP."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import grpc
from grpc.aio import Metadata
from msgspec import to_builtins

from puffindeck.client_side.ring_smoothing import owner
from puffindeck.config.client_config import ClientConfig, RpcConfig, RpcTable, parse_rpc
from puffindeck.config.endpoint_list import EndpointList, Target
from puffindeck.hashes import mix64
from puffindeck.interface import ClassSettings, Effect
from puffindeck.rpc.grpc import BalancedChannel
from puffindeck.service_discovery.keys import key_number
from tests.support import client_settings

SERVICE = "exchange.Feed"
SETTINGS = replace(
    client_settings.SETTINGS,
    classes=(
        ClassSettings(300, 1200, name="status"),
        ClassSettings(600, 2400, name="watch"),
        ClassSettings(300, 1200, effect=Effect.NOT_IDEMPOTENT, name="claim"),
    ),
    gateways=200,
    connect_timeout_ms=250,
    must_watch_endpoints=True,
    can_cancel=True,
    zones=("a",),
    kinds=("m",),
)
METHODS = {f"/{SERVICE}/Watch": "watch", f"/{SERVICE}/Talk": "watch", f"/{SERVICE}/Claim": "claim"}


def client_config(
    discovery_port: int | None, *targets: Target, seed: int = 7, **rpc_options: Any
) -> ClientConfig:
    """Return a checked configuration for discovery on a loopback port, or for the list `targets`."""
    checked: RpcConfig = parse_rpc(RpcTable(methods=METHODS, **rpc_options), SETTINGS, Path())
    address = ("127.0.0.1", discovery_port) if discovery_port else None
    return ClientConfig("client", address, seed, EndpointList(1, True, list(targets)), SETTINGS, checked)


class FeedServer:
    """A feed server that records its calls.

    `mode` is "serve", "silent", "full", "migrating", "no-retry" or the name of a status code to respond with.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.port = 0
        self.mode = "serve"
        self.calls: list[str] = []  # the methods that were called, in order
        self.metadata: list[dict[str, Any]] = []
        self.open_streams: set[asyncio.Event] = set()  # one per open stream; setting it ends the stream
        self.read_before_response = 0  # messages of a request stream to read before responding to `Talk`
        self.abandoned_calls = 0  # calls that the client cancelled while `mode` was "silent"
        self.started_ms = 0.0  # milliseconds since 1970
        self.on_call: Callable[[], None] = lambda: None
        self._server: grpc.aio.Server | None = None

    async def start(self, credentials: grpc.ServerCredentials | None = None) -> FeedServer:
        self._server = server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        handlers: dict[str, Any] = {
            "Status": grpc.unary_unary_rpc_method_handler(self._unary),
            "Claim": grpc.unary_unary_rpc_method_handler(self._unary),
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
        """Stop at once and abort all open calls."""
        if self._server is not None:
            server, self._server = self._server, None
            await server.stop(0)

    async def restart(self) -> None:
        """Restart on the same port. The server is in slow start from then on."""
        await self.stop()
        self.started_ms = time.time() * 1000.0
        await self.start()

    def target(self, state: str = "SERVING") -> Target:
        return Target(self.name, state, f"127.0.0.1:{self.port}", "a", "m", 1, 1.0, self.started_ms)

    async def _on_call(self, context: Any, method: str) -> None:
        self.calls.append(method)
        self.on_call()
        self.metadata.append(dict(context.invocation_metadata()))
        if self.mode == "silent":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.abandoned_calls += 1
                raise
        if self.mode == "full":
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "full")
        if self.mode == "migrating":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "go away", (("puffindeck-moved", "1"),))
        if self.mode == "no-retry":
            await context.abort(grpc.StatusCode.UNAVAILABLE, "no", (("grpc-retry-pushback-ms", "-1"),))
        if self.mode != "serve":  # the server has run the call and responds with this status
            await context.abort(getattr(grpc.StatusCode, self.mode), f"{self.name} says {self.mode}")

    async def _unary(self, request: bytes, context: Any) -> bytes:
        await self._on_call(context, "one")
        context.set_trailing_metadata((("served-by", self.name),))
        return self.name.encode() + b":" + request

    async def _watch(self, request: bytes, context: Any) -> AsyncIterator[bytes]:
        await self._on_call(context, "watch")
        await context.send_initial_metadata((("served-by", self.name),))
        ended = asyncio.Event()
        self.open_streams.add(ended)
        try:
            yield self.name.encode()
            await ended.wait()
            yield b"last"
        finally:
            self.open_streams.discard(ended)

    async def _upload(self, requests: AsyncIterator[bytes], context: Any) -> bytes:
        await self._on_call(context, "upload")
        return self.name.encode() + b":" + b",".join([message async for message in requests])

    async def _talk(self, requests: AsyncIterator[bytes], context: Any) -> AsyncIterator[bytes]:
        early_messages = [await anext(requests) for _ in range(self.read_before_response)]
        await self._on_call(context, "talk")
        await context.send_initial_metadata((("served-by", self.name),))
        for message in early_messages:
            yield self.name.encode() + b":" + message
        async for message in requests:
            yield self.name.encode() + b":" + message


class Discovery:
    """A discovery service: an endpoint list and watches on it."""

    def __init__(self) -> None:
        self.version = 1
        self.targets: dict[str, Target] = {}
        self.port = 0
        self.requests = 0
        self._server: asyncio.Server | None = None
        self._watchers: set[asyncio.StreamWriter] = set()
        self._heartbeats: set[asyncio.Task[None]] = set()

    async def start(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Become unreachable: watches end, and connects fail."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._watchers):
            writer.close()
        self._watchers.clear()
        for heartbeat in self._heartbeats:
            heartbeat.cancel()

    def update(self, *targets: Target) -> None:
        """Change these entries of the list and notify all watches."""
        self.version += 1
        for target in targets:
            self.targets[target.uid] = target
        line = self._text(False, targets)
        for writer in self._watchers:
            self._chunk(writer, line)

    def _text(self, full: bool, targets: Any) -> bytes:
        listed = [to_builtins(t) for t in targets if not (full and t.state == "DELETED")]
        return json.dumps({"rev": self.version, "all": full, "targets": listed}).encode() + b"\n"

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        self.requests += 1
        if b"watch=1" in head.split(b"\r\n")[0]:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(writer, self._text(True, self.targets.values()))
            self._watchers.add(writer)
            heartbeat = asyncio.get_running_loop().create_task(self._heartbeat(writer))
            self._heartbeats.add(heartbeat)
            heartbeat.add_done_callback(self._heartbeats.discard)
        else:
            text = self._text(True, self.targets.values())
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s" % (len(text), text)
            )
            writer.close()

    async def _heartbeat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2.0)
            self._chunk(writer, b"\n")


class Stub:
    """A stub as protoc generates it, with bytes as messages."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self.status: Any = channel.unary_unary(f"/{SERVICE}/Status")
        self.claim: Any = channel.unary_unary(f"/{SERVICE}/Claim")
        self.watch: Any = channel.unary_stream(f"/{SERVICE}/Watch")
        self.upload: Any = channel.stream_unary(f"/{SERVICE}/Upload")
        self.talk: Any = channel.stream_stream(f"/{SERVICE}/Talk")


def key_metadata(key: str) -> Metadata:
    """Return metadata with the key of a call."""
    return Metadata(("puffindeck-key", key))


async def wait_until(condition: Callable[[], Any], failure: str, seconds: float = 10.0) -> None:
    """Wait for a condition. After `seconds`, fail with the message `failure`."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(failure)
        await asyncio.sleep(0.005)


def balancer_of(channel: BalancedChannel) -> Any:
    """Return a channel's decision module, typed as Any for access to all its attributes."""
    return channel._ensure_started()[0].balancer


class RpcEnvironment:
    """Servers, discovery and channels, which `close_all` closes."""

    def __init__(self) -> None:
        self.servers: dict[str, FeedServer] = {}
        self.discovery = Discovery()
        self._close_functions: list[Callable[[], Awaitable[Any]]] = []

    async def serve(self, *names: str) -> None:
        for name in names:
            server = await FeedServer(name).start()
            self.servers[name] = server
            self._close_functions.append(server.stop)
        await self.discovery.start()
        self._close_functions.append(self.discovery.stop)
        self.discovery.update(*(server.target() for server in self.servers.values()))

    def channel(self, **keywords: Any) -> BalancedChannel:
        """Create a channel.

        `config` replaces the default configuration, and `rpc` contains options of the default one. All other
        keywords are passed to BalancedChannel.
        """
        config = keywords.pop("config", None)
        rpc_options = keywords.pop("rpc", {})
        channel = BalancedChannel(config or client_config(self.discovery.port, **rpc_options), **keywords)
        self._close_functions.append(channel.close)
        return channel

    async def close_all(self) -> None:
        for close in reversed(self._close_functions):
            await close()

    def call_counts(self) -> dict[str, int]:
        """Return the number of calls that each server received."""
        return {name: len(server.calls) for name, server in self.servers.items()}

    def key_of(self, channel: BalancedChannel, server: str) -> str:
        """Return a key that the channel's decision module places on this server."""
        shared = channel._ensure_started()[0]
        ring = balancer_of(channel).client_ring.full.ring_for(None)
        number = shared.directory.number(server)
        return next(
            key
            for key in (f"desk {i}" for i in range(10000))
            if owner(ring, mix64(key_number(key.encode())) >> 34) == number
        )
