"""A channel for grpc.aio whose calls the decision module places, each by itself.

    async with BalancedChannel.from_config("desk.toml") as channel:
        stub = FeedStub(channel)
        await stub.Status(request, timeout=1.8, metadata=(("puffindeck-key", "desk 7"),))

It needs the extra `grpc`. docs/rpc.md says what differs from a plain channel.
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
    """When a rejected call may be retried; None if nothing is said of it, timedelta.max if it must not be."""
    return retry_after(error)


def moved(error: AioRpcError) -> bool:
    """Was the call migrated, so that it goes on at another server?"""
    return is_migrated(error)


class ChannelParts(NamedTuple):
    """What a channel uses once its event loop is known."""

    shared: SharedState
    pool: SubchannelPool


class BalancedChannel(grpc.aio.Channel):
    """A `grpc.aio.Channel` over all servers of the endpoint list. For the event loop that first uses it."""

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
        """`config` is a checked configuration; `alone` shares no endpoint list and decisions with others.

        Raises ValueError for an interceptor that is none.
        """
        self._config = config
        self._credentials = credentials
        self._compression = compression
        self._options = tuple(options)
        self._alone = alone
        self._interceptors = sort_by_kind(interceptors)
        self._pid = os.getpid()
        self._parts: ChannelParts | None = None  # made when first used
        self._calls: set[BalancedCall] = set()
        self._closed = False

    @classmethod
    def from_config(cls, path: str | Path, **keywords: Any) -> Self:
        """A channel as a TOML file says. ConfigError is one line that names the file and the key."""
        return cls(load_client_config(path), **keywords)

    # Its parts, made when first used: only then is the event loop known

    def _security(self) -> ChannelSecurity:
        tls = self._config.rpc.tls
        if self._credentials is not None or tls is None:
            return ChannelSecurity(self._credentials, self._options, self._compression)
        credentials = grpc.ssl_channel_credentials(tls.ca or None, tls.key or None, tls.cert or None)
        target_name = (("grpc.ssl_target_name_override", tls.server_name),) if tls.server_name else ()
        return ChannelSecurity(credentials, (*self._options, *target_name), self._compression)

    def _started(self) -> ChannelParts:
        """The parts. RuntimeError or grpc.aio.UsageError if this is not where they may be used."""
        if self._closed:
            raise grpc.aio.UsageError("Channel is closed.")
        if os.getpid() != self._pid:
            raise RuntimeError(
                f"this channel belongs to process {self._pid}: after a fork, make one in the new process"
            )
        loop = asyncio.get_running_loop()
        if self._parts is None:
            rpc = self._config.rpc
            security = self._security()
            shared = SharedState.acquire(self._config, self._alone)
            pool = SubchannelPool(shared.deadlines, rpc.max_subchannels, rpc.idle_timeout, security)
            self._parts = ChannelParts(shared, pool)
        elif self._parts.shared.loop is not loop:
            raise RuntimeError("this channel belongs to another event loop: make one in this loop")
        return self._parts

    def check_usable(self) -> None:
        """Raise RuntimeError or grpc.aio.UsageError if the channel can't be used here."""
        self._started()

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

    # Its state: of the endpoint list, as no one connection says anything of all

    def get_state(self, try_to_connect: bool = False) -> grpc.ChannelConnectivity:
        """READY while the endpoint list names a server that may be sent to."""
        if self._closed:
            return grpc.ChannelConnectivity.SHUTDOWN
        if self._parts is None and not try_to_connect:
            return grpc.ChannelConnectivity.IDLE
        shared = self._started().shared
        if shared.balancer.ready:
            return grpc.ChannelConnectivity.READY
        if shared.balancer.list_failures or shared.balancer.version >= 0:
            return grpc.ChannelConnectivity.TRANSIENT_FAILURE
        return grpc.ChannelConnectivity.CONNECTING

    async def wait_for_state_change(self, last_observed_state: grpc.ChannelConnectivity) -> None:
        """Wait until the state is another than `last_observed_state`."""
        shared = self._started().shared
        while self.get_state() is last_observed_state:
            await shared.wait_for_change()

    async def channel_ready(self) -> None:
        """Wait until the endpoint list names a server that may be sent to."""
        while (state := self.get_state(try_to_connect=True)) is not grpc.ChannelConnectivity.READY:
            await self.wait_for_state_change(state)

    @property
    def roster_age(self) -> float:
        """Seconds since discovery last gave a sign of life; infinite before the first."""
        return self._started().shared.list_age_ms / MS_PER_S

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
        """The method of this path, with one request and one response."""
        return self._multicallable(method, UNARY_UNARY, request_serializer, response_deserializer)

    def unary_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """The method of this path, with one request and a stream of responses."""
        return self._multicallable(method, UNARY_STREAM, request_serializer, response_deserializer)

    def stream_unary(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """The method of this path, with a stream of requests and one response."""
        return self._multicallable(method, STREAM_UNARY, request_serializer, response_deserializer)

    def stream_stream(
        self,
        method: str,
        request_serializer: Any = None,
        response_deserializer: Any = None,
        _registered_method: bool | None = False,
    ) -> Any:
        """The method of this path, with streams both ways."""
        return self._multicallable(method, STREAM_STREAM, request_serializer, response_deserializer)

    def call(self, method: Method, request: Any, options: CallOptions) -> BalancedCall:
        """Begin a call. RuntimeError or grpc.aio.UsageError if the channel can't be used here."""
        shared, pool = self._started()
        call = CALLS[method.kind](shared, pool, method, options, request, self._calls.discard)
        if not call.done():
            self._calls.add(call)
        return call
