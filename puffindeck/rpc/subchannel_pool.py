"""A bounded pool with one gRPC channel per server. Channels are opened on demand and closed when idle."""

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

# Only the decision module retries calls, so that each attempt is counted once. The library must not resend
# anything. Channels don't share subchannels and therefore share no backoff, so that a broken channel can be
# replaced at once.
CHANNEL_OPTIONS: tuple[tuple[str, Any], ...] = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.lb_policy_name", "pick_first"),
    ("grpc.enable_http_proxy", 0),
    # The decision module decides when to try a server. The library's backoff must not outlast the module's.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class ChannelSecurity(NamedTuple):
    """Credentials and options of a pool's channels. Without credentials, the channels use plain text."""

    credentials: grpc.ChannelCredentials | None
    options: Sequence[tuple[str, Any]]
    compression: grpc.Compression | None


class _CachedCallable(NamedTuple):
    method: Method  # the reference prevents reuse of its id()
    multicallable: Any


class Subchannel:
    """The channel to one server, and the number of calls that use it."""

    __slots__ = ("_callables", "_open_channel", "active_calls", "channel", "idle_deadline")

    def __init__(self, open_channel: Callable[[], Any]) -> None:
        self._open_channel = open_channel
        self.active_calls = 0
        self.channel = open_channel()
        self.idle_deadline: Deadline | None = None
        self._callables: dict[int, _CachedCallable] = {}  # by id() of the method

    def callable(self, method: Method) -> Any:
        """Return the method's multicallable on this channel, which is created once."""
        cached = self._callables.get(id(method))
        if cached is None:
            cached = _CachedCallable(method, method.multicallable(self.channel))
            self._callables[id(method)] = cached
        return cached.multicallable

    def ready(self) -> bool:
        """Return whether the channel is connected."""
        return bool(self.channel.get_state() is State.READY)

    async def connect(self, timeout: timedelta) -> bool:
        """Wait for the connection. Return False if it fails or takes longer than `timeout`.

        A channel that failed before is replaced, because it may wait for seconds before its next connect.
        """
        if self.channel.get_state() in (State.TRANSIENT_FAILURE, State.SHUTDOWN):
            if self.active_calls > 1:  # another call is connecting or has just failed to connect
                if self.channel.get_state() is State.SHUTDOWN:
                    return False
            else:
                await self.channel.close()
                self.channel = self._open_channel()
                self._callables.clear()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._wait_until_ready()
        except TimeoutError:
            return False

    async def _wait_until_ready(self) -> bool:
        """Return False if the channel is shut down, or fails after it has started to connect."""
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
    """The subchannels of a balanced channel. At the limit, the least recently used idle one is closed.

    If all are in use, more than `max_open` are opened. The limit is meant for idle connections, and a call
    that the decision module has placed must not be rejected because of it.
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

    def _open_channel(self, address: tuple[str, int]) -> grpc.aio.Channel:
        host, port = address
        target = f"ipv6:[{host}]:{port}" if ":" in host else f"ipv4:{host}:{port}"
        if self._credentials is None:
            return grpc.aio.insecure_channel(target, self._options, self._compression)
        return grpc.aio.secure_channel(target, self._credentials, self._options, self._compression)

    def acquire(self, address: tuple[str, int]) -> Subchannel:
        """Return the subchannel to a server for a call, which must release it."""
        subchannel = self._open.get(address)
        if subchannel is None:
            self._close_idle_if_full()
            subchannel = self._open[address] = Subchannel(lambda: self._open_channel(address))
        else:
            self._open.move_to_end(address)
            if subchannel.idle_deadline is not None:
                self._deadlines.cancel(subchannel.idle_deadline)
                subchannel.idle_deadline = None
        subchannel.active_calls += 1
        return subchannel

    def release(self, address: tuple[str, int], subchannel: Subchannel) -> None:
        """Release a subchannel after a call."""
        subchannel.active_calls -= 1
        if not subchannel.active_calls and self._open.get(address) is subchannel:
            subchannel.idle_deadline = self._deadlines.after(
                self._idle_timeout, self._close_subchannel, address
            )

    def _close_idle_if_full(self) -> None:
        if len(self._open) >= self._max_open:
            for address, subchannel in self._open.items():
                if not subchannel.active_calls:
                    self._close_subchannel(address)
                    return

    def _close_subchannel(self, address: tuple[str, int]) -> None:
        subchannel = self._open.pop(address)
        self._deadlines.cancel(subchannel.idle_deadline)
        task = asyncio.get_running_loop().create_task(subchannel.channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all subchannels. Calls that use them are aborted."""
        for address in list(self._open):
            self._close_subchannel(address)
        while self._closing:
            await asyncio.gather(*self._closing, return_exceptions=True)
