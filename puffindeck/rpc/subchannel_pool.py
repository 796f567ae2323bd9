"""One gRPC channel for each server, opened as needed, closed when idle, bounded in number."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, NamedTuple

import grpc
from grpc import ChannelConnectivity as State

from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.rpc.method import Method

# Retries are the decision module's, and an attempt counts once however it was sent: the library resends
# nothing by itself; a server's channels share no backoff with another's, and a broken one is opened anew at
# once.
CHANNEL_OPTIONS: tuple[tuple[str, Any], ...] = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.lb_policy_name", "pick_first"),
    ("grpc.enable_http_proxy", 0),
    # the decision module decides whether a server is tried: the library's own backoff must not outlast its
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class ChannelSecurity(NamedTuple):
    """How the channels of a pool are opened: credentials (None: plain text), options, compression."""

    credentials: grpc.ChannelCredentials | None
    options: Sequence[tuple[str, Any]]
    compression: grpc.Compression | None


class _CachedCallable(NamedTuple):
    method: Method  # referenced, so that its id() is not given to another
    multicallable: Any


class Subchannel:
    """One server's channel, and how many calls use it."""

    __slots__ = ("_callables", "_make", "channel", "idle_deadline", "users")

    def __init__(self, make: Callable[[], Any]) -> None:
        self._make = make
        self.users = 0
        self.channel = make()
        self.idle_deadline: Deadline | None = None
        self._callables: dict[int, _CachedCallable] = {}  # by id() of the method

    def callable(self, method: Method) -> Any:
        """The method's multicallable on this channel, made once."""
        cached = self._callables.get(id(method))
        if cached is None:
            cached = _CachedCallable(method, method.multicallable(self.channel))
            self._callables[id(method)] = cached
        return cached.multicallable

    def ready(self) -> bool:
        """Does its connection stand?"""
        return bool(self.channel.get_state() is State.READY)

    async def connect(self, timeout: timedelta) -> bool:
        """Wait for the connection; False if it fails or takes too long.

        A channel that has failed before is opened anew: its own next attempt may be seconds away.
        """
        if self.channel.get_state() in (State.TRANSIENT_FAILURE, State.SHUTDOWN):
            if self.users > 1:  # another call's connect is under way or has just failed
                if self.channel.get_state() is State.SHUTDOWN:
                    return False
            else:
                await self.channel.close()
                self.channel = self._make()
                self._callables.clear()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._wait_until_ready()
        except TimeoutError:
            return False

    async def _wait_until_ready(self) -> bool:
        """False if the channel is shut down, or fails after it began to connect."""
        state = self.channel.get_state(try_to_connect=True)
        connecting = False
        while state is not State.READY:
            if state is State.SHUTDOWN or (connecting and state is State.TRANSIENT_FAILURE):
                return False
            connecting = connecting or state is State.CONNECTING
            await self.channel.wait_for_state_change(state)
            state = self.channel.get_state(try_to_connect=True)
            if state is State.TRANSIENT_FAILURE:
                return False
        return True


class SubchannelPool:
    """A channel's connections to servers. The least recently used idle one makes room for another.

    Where all are in use, more than `max_open` are opened: a call that the decision module has placed is not
    rejected for the sake of a bound on idle connections.
    """

    def __init__(
        self, deadlines: TimerQueue, max_open: int, idle_timeout: timedelta, security: ChannelSecurity
    ) -> None:
        self._deadlines = deadlines
        self._max_open = max_open
        self._idle_timeout = idle_timeout
        self._credentials = security.credentials
        self._compression = security.compression
        self._options = (*CHANNEL_OPTIONS, *security.options)
        self._open: OrderedDict[tuple[str, int], Subchannel] = OrderedDict()
        self._closing: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._open)

    def _make(self, address: tuple[str, int]) -> grpc.aio.Channel:
        host, port = address
        target = f"ipv6:[{host}]:{port}" if ":" in host else f"ipv4:{host}:{port}"
        if self._credentials is None:
            return grpc.aio.insecure_channel(target, self._options, self._compression)
        return grpc.aio.secure_channel(target, self._credentials, self._options, self._compression)

    def acquire(self, address: tuple[str, int]) -> Subchannel:
        """The subchannel to a server, for a call; to be released."""
        subchannel = self._open.get(address)
        if subchannel is None:
            self._make_room()
            subchannel = self._open[address] = Subchannel(lambda: self._make(address))
        else:
            self._open.move_to_end(address)
            if subchannel.idle_deadline is not None:
                self._deadlines.cancel(subchannel.idle_deadline)
                subchannel.idle_deadline = None
        subchannel.users += 1
        return subchannel

    def release(self, address: tuple[str, int], subchannel: Subchannel) -> None:
        """A call is done with it."""
        subchannel.users -= 1
        if not subchannel.users and self._open.get(address) is subchannel:
            subchannel.idle_deadline = self._deadlines.after(self._idle_timeout, self._close_one, address)

    def _make_room(self) -> None:
        if len(self._open) >= self._max_open:
            for address, subchannel in self._open.items():
                if not subchannel.users:
                    self._close_one(address)
                    return

    def _close_one(self, address: tuple[str, int]) -> None:
        subchannel = self._open.pop(address)
        self._deadlines.cancel(subchannel.idle_deadline)
        task = asyncio.get_running_loop().create_task(subchannel.channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close them all. Calls that use one are cut off."""
        for address in list(self._open):
            self._close_one(address)
        while self._closing:
            await asyncio.gather(*self._closing, return_exceptions=True)
