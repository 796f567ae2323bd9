"""A channel for grpc.aio. The decision module chooses a server for each call separately.

    async with BalancedChannel.from_config("client.toml") as channel:
        stub = FeedStub(channel)
        await stub.Status(request, timeout=1.8, metadata=(("puffindeck-key", "session 7"),))

It requires the extra `grpc`. docs/rpc.md describes the differences from a plain channel.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple, Self

import grpc
from grpc.aio import AioRpcError

from puffindeck.config import ConfigError
from puffindeck.config.client_config import ClientConfig, load_client_config
from puffindeck.rpc.balanced_call import BalancedCall
from puffindeck.rpc.calls import CALLS
from puffindeck.rpc.interceptor_chain import sort_by_kind
from puffindeck.rpc.method import (
    STREAM_STREAM,
    STREAM_UNARY,
    UNARY_STREAM,
    UNARY_UNARY,
    CallKind,
    CallOptions,
    Method,
)
from puffindeck.rpc.multicallables import MULTICALLABLES
from puffindeck.rpc.resuming import resuming
from puffindeck.rpc.shared_state import SharedState
from puffindeck.rpc.status import CHANNEL_CLOSED, is_migrated, retry_after
from puffindeck.rpc.subchannel_pool import ChannelSecurity, SubchannelPool

__all__ = ["BalancedChannel", "ConfigError", "come_back", "moved", "resuming"]

MS_PER_S = 1000.0


def come_back(error: AioRpcError) -> timedelta | None:
    """Return the time until a rejected call may be retried.

    Returns None if the error carries no time, and timedelta.max if the call must not be retried.
    """
    return retry_after(error)


def moved(error: AioRpcError) -> bool:
    """Return whether the call was migrated: it ended to be resumed at another server."""
    return is_migrated(error)


class ChannelParts(NamedTuple):
    """The parts of a channel that belong to its event loop."""

    shared: SharedState
    pool: SubchannelPool


class BalancedChannel(grpc.aio.Channel):
    """A `grpc.aio.Channel` to all servers of the endpoint list.

    It belongs to the process that creates it, and to the event loop that uses it first.
    """

    def __init__(
        self,
        config: ClientConfig,
        *,
        credentials: grpc.ChannelCredentials | None = None,
        options: Sequence[tuple[str, Any]] = (),
        interceptors: Sequence[Any] = (),
        compression: grpc.Compression | None = None,
        alone: bool = False,
    ) -> None:
        """`config` is a checked configuration. With `alone`, endpoint list and decisions are not shared.

        `credentials` replace those of the configuration. Raises ValueError if an element of `interceptors` is
        not an interceptor.
        """
        self._config = config
        self._credentials = credentials
        self._compression = compression
        self._options = tuple(options)
        self._alone = alone
        self._interceptors = sort_by_kind(interceptors)
        self._pid = os.getpid()
        self._parts: ChannelParts | None = None  # created on first use
        self._calls: set[BalancedCall] = set()
        self._closed = False

    @classmethod
    def from_config(cls, path: str | Path, **keywords: Any) -> Self:
        """Create a channel from a TOML file; `keywords` are those of the constructor.

        Raises ConfigError with a message of one line that names the file and the key.
        """
        return cls(load_client_config(path), **keywords)

    # The parts are created on first use, because the event loop is not known before.

    def _security(self) -> ChannelSecurity:
        tls = self._config.rpc.tls
        if self._credentials is not None or tls is None:
            return ChannelSecurity(self._credentials, self._options, self._compression)
        credentials = grpc.ssl_channel_credentials(tls.ca or None, tls.key or None, tls.cert or None)
        target_name = (("grpc.ssl_target_name_override", tls.server_name),) if tls.server_name else ()
        return ChannelSecurity(credentials, (*self._options, *target_name), self._compression)

    def _ensure_started(self) -> ChannelParts:
        """Create the parts on first use and return them.

        Raises grpc.aio.UsageError if the channel is closed, and RuntimeError in another process or loop.
        """
        if self._closed:
            raise grpc.aio.UsageError("Channel is closed.")
        if os.getpid() != self._pid:
            raise RuntimeError(
                f"this channel belongs to process {self._pid}: after a fork, create one in the new process"
            )
        loop = asyncio.get_running_loop()
        if self._parts is None:
            rpc = self._config.rpc
            security = self._security()
            shared = SharedState.acquire(self._config, self._alone)
            pool = SubchannelPool(shared.deadlines, rpc.max_subchannels, rpc.idle_timeout, security)
            self._parts = ChannelParts(shared, pool)
        elif self._parts.shared.loop is not loop:
            raise RuntimeError("this channel belongs to another event loop: create one in this loop")
        return self._parts

    def check_usable(self) -> None:
        """Raise RuntimeError or grpc.aio.UsageError if the channel can't be used here."""
        self._ensure_started()

    async def __aenter__(self) -> Self:
        self._ensure_started()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self, grace: float | None = None) -> None:
        """Close the channel for new calls, and cancel open ones after `grace` seconds, by default at once."""
        if self._closed:
            return
        self._closed = True
        if self._parts is None:
            return
        if grace and self._calls:
            await self._wait_for_calls(grace)
        for call in list(self._calls):
            call.end(CHANNEL_CLOSED)
        await self._parts.pool.close()
        await self._parts.shared.release()

    async def _wait_for_calls(self, grace: float) -> None:
        done = asyncio.Event()
        for call in self._calls:
            call.add_done_callback(lambda _: None if self._calls else done.set())
        try:
            async with asyncio.timeout(grace):
                await done.wait()
        except TimeoutError:
            pass

    # The connectivity state is that of the endpoint list, because no single connection represents all
    # servers.

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """Return the connectivity state: READY while the endpoint list has a server that accepts calls."""
        if self._closed:
            return grpc.ChannelConnectivity.SHUTDOWN
        if self._parts is None and not try_to_connect:
            return grpc.ChannelConnectivity.IDLE
        shared = self._ensure_started().shared
        if shared.balancer.ready:
            return grpc.ChannelConnectivity.READY
        if shared.balancer.list_failures or shared.balancer.version >= 0:
            return grpc.ChannelConnectivity.TRANSIENT_FAILURE
        return grpc.ChannelConnectivity.CONNECTING

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        """Wait until the state differs from `last_observed_state`."""
        shared = self._ensure_started().shared
        while self.get_state() is last_observed_state:
            await shared.wait_for_change()

    async def channel_ready(self) -> None:
        """Wait until the endpoint list has a server that accepts calls."""
        while (state := self.get_state(try_to_connect=True)) is not grpc.ChannelConnectivity.READY:
            await self.wait_for_state_change(state)

    @property
    def roster_age(self) -> float:
        """Seconds since discovery last responded; infinite before its first response."""
        return self._ensure_started().shared.list_age_ms / MS_PER_S

    # Methods

    def _class_of(self, path: str) -> int:
        rpc = self._config.rpc
        service = path[: path.rfind("/") + 1]
        return rpc.methods.get(path, rpc.methods.get(service, rpc.class_number))

    def _multicallable(self, path: str, kind: CallKind, serializer: Any, deserializer: Any) -> Any:
        method = Method(path, *kind, serializer, deserializer, self._class_of(path))
        return MULTICALLABLES[kind](self, method, self._interceptors[kind])

    def unary_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """Return the multicallable of a method with one request and one response."""
        return self._multicallable(method, UNARY_UNARY, request_serializer, response_deserializer)

    def unary_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """Return the multicallable of a method with one request and a stream of responses."""
        return self._multicallable(method, UNARY_STREAM, request_serializer, response_deserializer)

    def stream_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """Return the multicallable of a method with a stream of requests and one response."""
        return self._multicallable(method, STREAM_UNARY, request_serializer, response_deserializer)

    def stream_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """Return the multicallable of a method with streams of requests and responses."""
        return self._multicallable(method, STREAM_STREAM, request_serializer, response_deserializer)

    def call(self, method: Method, request: Any, options: CallOptions) -> BalancedCall:
        """Start a call. Raises the errors of `check_usable`."""
        shared, pool = self._ensure_started()
        call = CALLS[method.kind](shared, pool, method, options, request, self._calls.discard)
        if not call.done():
            self._calls.add(call)
        return call
