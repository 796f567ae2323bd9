"""A channel for grpc.aio whose calls the decision module places, each for itself.

    async with BalancedChannel.from_config("desk.toml") as channel:
        stub = FeedStub(channel)
        await stub.Status(request, timeout=1.8, metadata=(("puffindeck-key", "desk 7"),))

It wants the extra `grpc`. docs/rpc.md says what differs from a plain channel.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, Self

import grpc
from grpc.aio import AioRpcError

from puffindeck.config import ConfigError
from puffindeck.config.client import Client, client
from puffindeck.rpc.calls import CALLS, Asked, BalancedCall
from puffindeck.rpc.intercept import INTERCEPTED, sorted_by_kind
from puffindeck.rpc.resuming import resuming
from puffindeck.rpc.shared import Shared
from puffindeck.rpc.status import CLOSED, comes_back, moved
from puffindeck.rpc.subchannels import Method, Subchannels

__all__ = ["BalancedChannel", "ConfigError", "come_back", "moved", "resuming"]


def come_back(error: AioRpcError) -> timedelta | None:
    """When a refused call may come again; None if it was not told, timedelta.max if it must not."""
    return comes_back(error)


class BalancedChannel(grpc.aio.Channel):
    """A `grpc.aio.Channel` over all servers of the roster. For the event loop that first uses it."""

    def __init__(
        self,
        told: Client,
        *,
        credentials: grpc.ChannelCredentials | None = None,
        options: Sequence[tuple[str, Any]] = (),
        interceptors: Sequence[Any] = (),
        compression: Any = None,
        alone: bool = False,
    ) -> None:
        """`told` is a checked configuration; `alone` keeps this channel's roster and decisions to itself."""
        self._told, self._credentials, self._compression = told, credentials, compression
        self._options, self._alone = tuple(options), alone
        self._interceptors = sorted_by_kind(interceptors)
        self._pid = os.getpid()
        self._shared: Shared | None = None
        self._pool: Subchannels | None = None
        self._calls: set[BalancedCall] = set()
        self._closed = False

    @classmethod
    def from_config(cls, path: str | Path, **keywords: Any) -> Self:
        """A channel as a TOML file says. ConfigError is one line that names the file and the key."""
        return cls(client(path), **keywords)

    # Its parts, made when first used: only then is the event loop known

    def _secured(self) -> tuple[grpc.ChannelCredentials | None, tuple[tuple[str, Any], ...]]:
        tls = self._told.rpc.tls
        if self._credentials is not None or tls is None:
            return self._credentials, self._options
        credentials = grpc.ssl_channel_credentials(tls.ca or None, tls.key or None, tls.cert or None)
        named = (("grpc.ssl_target_name_override", tls.server_name),) if tls.server_name else ()
        return credentials, (*self._options, *named)

    def _started(self) -> tuple[Shared, Subchannels]:
        """The parts. RuntimeError or grpc.aio.UsageError if this is not where they may be used."""
        if self._closed:
            raise grpc.aio.UsageError("Channel is closed.")
        if os.getpid() != self._pid:
            raise RuntimeError(
                f"this channel belongs to process {self._pid}: after a fork, make one in the new process"
            )
        loop = asyncio.get_running_loop()
        if self._shared is None or self._pool is None:
            self._shared = Shared.take(self._told, self._alone)
            credentials, options = self._secured()
            rpc = self._told.rpc
            self._pool = Subchannels(
                self._shared.deadlines, rpc.subchannels, rpc.idle, credentials, options, self._compression
            )
        elif self._shared.loop is not loop:
            raise RuntimeError("this channel belongs to another event loop: make one in this loop")
        return self._shared, self._pool

    async def __aenter__(self) -> Self:
        self._started()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self, grace: float | None = None) -> None:
        """No new calls; those that are open have `grace` seconds to end, and are cancelled then."""
        if self._closed:
            return
        self._closed = True
        if self._shared is None or self._pool is None:
            return
        if grace and self._calls:
            done = asyncio.Event()
            for call in self._calls:
                call.add_done_callback(lambda _: None if self._calls else done.set())
            try:
                async with asyncio.timeout(grace):
                    await done.wait()
            except TimeoutError:
                pass
        for call in list(self._calls):
            call.end(CLOSED)
        await self._pool.close()
        await self._shared.release()

    # Its state: of the roster, as no one connection says anything of all

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """READY while the roster names a server that may be sent to."""
        if self._closed:
            return grpc.ChannelConnectivity.SHUTDOWN
        if self._shared is None and not try_to_connect:
            return grpc.ChannelConnectivity.IDLE
        shared, _ = self._started()
        if shared.member.ready:
            return grpc.ChannelConnectivity.READY
        if shared.member.list_failures or shared.member.version >= 0:
            return grpc.ChannelConnectivity.TRANSIENT_FAILURE
        return grpc.ChannelConnectivity.CONNECTING

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        shared, _ = self._started()
        while self.get_state() is last_observed_state:
            await shared.change()

    async def channel_ready(self) -> None:
        """Until the roster names a server that may be sent to."""
        while (state := self.get_state(try_to_connect=True)) is not grpc.ChannelConnectivity.READY:
            await self.wait_for_state_change(state)

    @property
    def roster_age(self) -> float:
        """Seconds since the roster last gave a sign of life; infinite before the first."""
        return self._started()[0].age_ms / 1000.0

    # Methods

    def _class_of(self, path: str) -> int:
        rpc = self._told.rpc
        service = path[: path.rfind("/") + 1]
        return rpc.methods.get(path, rpc.methods.get(service, rpc.cls))

    def _callable(
        self, path: str, request_stream: bool, response_stream: bool, serializer: Any, deserializer: Any
    ) -> Any:
        method = Method(path, request_stream, response_stream, serializer, deserializer, self._class_of(path))
        kind = MULTI[request_stream, response_stream]
        return kind(self, method, self._interceptors[request_stream, response_stream])

    def unary_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        return self._callable(method, False, False, request_serializer, response_deserializer)

    def unary_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        return self._callable(method, False, True, request_serializer, response_deserializer)

    def stream_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        return self._callable(method, True, False, request_serializer, response_deserializer)

    def stream_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        return self._callable(method, True, True, request_serializer, response_deserializer)

    def call(self, method: Method, request: Any, asked: Asked) -> BalancedCall:
        """Begin a call."""
        shared, pool = self._started()
        begun = CALLS[method.request_stream, method.response_stream](
            shared, pool, method, asked, request, self._calls.discard
        )
        if not begun.done():
            self._calls.add(begun)
        return begun


class _Callable:
    """A method of a stub."""

    def __init__(self, channel: BalancedChannel, method: Method, interceptors: Sequence[Any]) -> None:
        self._channel, self._method, self._interceptors = channel, method, interceptors

    def _begin(
        self,
        request: Any,
        timeout: float | None,
        metadata: Any,
        credentials: Any,
        wait_for_ready: bool | None,
        compression: Any,
    ) -> Any:
        asked = Asked(timeout, metadata, credentials, bool(wait_for_ready), compression)
        if not self._interceptors:
            return self._channel.call(self._method, request, asked)
        kind = INTERCEPTED[self._method.request_stream, self._method.response_stream]
        self._channel._started()  # a channel that can't be used says so here, as it does without interceptors
        return kind(self._interceptors, self._channel.call, self._method, request, asked)


class _OneRequest(_Callable):
    def __call__(
        self,
        request: Any,
        *,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: Any = None,
        wait_for_ready: bool | None = None,
        compression: Any = None,
    ) -> Any:
        return self._begin(request, timeout, metadata, credentials, wait_for_ready, compression)


class _ManyRequests(_Callable):
    def __call__(
        self,
        request_iterator: Any = None,
        timeout: float | None = None,
        metadata: Any = None,
        credentials: Any = None,
        wait_for_ready: bool | None = None,
        compression: Any = None,
    ) -> Any:
        return self._begin(request_iterator, timeout, metadata, credentials, wait_for_ready, compression)


class _UnaryUnary(_OneRequest, grpc.aio.UnaryUnaryMultiCallable[Any, Any]):
    """grpc.aio.UnaryUnaryMultiCallable."""


class _UnaryStream(_OneRequest, grpc.aio.UnaryStreamMultiCallable[Any, Any]):
    """grpc.aio.UnaryStreamMultiCallable."""


class _StreamUnary(_ManyRequests, grpc.aio.StreamUnaryMultiCallable[Any, Any]):
    """grpc.aio.StreamUnaryMultiCallable."""


class _StreamStream(_ManyRequests, grpc.aio.StreamStreamMultiCallable[Any, Any]):
    """grpc.aio.StreamStreamMultiCallable."""


MULTI: dict[tuple[bool, bool], type[_Callable]] = {
    (False, False): _UnaryUnary,
    (False, True): _UnaryStream,
    (True, False): _StreamUnary,
    (True, True): _StreamStream,
}
