"""One gRPC channel a server, opened as needed, closed when idle, bounded in number."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, NamedTuple

import grpc
from grpc import ChannelConnectivity as State

from puffindeck.core.timer_queue import Deadline, TimerQueue

# retries are the decision module's, and an attempt counts once however it was sent: the library sends nothing
# again by itself; a server's channels share no back-off with another's, and a broken one is opened anew at
# once
OPTIONS: tuple[tuple[str, Any], ...] = (
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.lb_policy_name", "pick_first"),
    ("grpc.enable_http_proxy", 0),
    # whether a server is tried is the module's to say: the library's own pauses must not outlast its
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


class Method(NamedTuple):
    """A method as a stub names it, and its class of request."""

    path: str
    request_stream: bool
    response_stream: bool
    serializer: Any
    deserializer: Any
    cls: int

    def on(self, channel: Any) -> Any:
        """The library's own callable for it."""
        kind = ("stream" if self.request_stream else "unary") + (
            "_stream" if self.response_stream else "_unary"
        )
        return getattr(channel, kind)(self.path, self.serializer, self.deserializer)


class Subchannel:
    """One server's channel, and how many calls use it."""

    __slots__ = ("_callables", "channel", "idle", "make", "users")

    def __init__(self, make: Callable[[], Any]) -> None:
        self.make, self.users = make, 0
        self.channel = make()
        self.idle: Deadline | None = None
        self._callables: dict[int, Any] = {}

    def callable(self, method: Method) -> Any:
        """The method's callable on this channel, made once."""
        made = self._callables.get(id(method))
        if made is None:
            made = self._callables[id(method)] = method, method.on(self.channel)  # kept: its id stays its own
        return made[1]

    def ready(self) -> bool:
        """Does its connection stand?"""
        return bool(self.channel.get_state() is State.READY)

    async def connect(self, patience: timedelta) -> bool:
        """Until the connection stands; False if it fails or takes too long.

        One that has failed before is opened anew: its own next try may be seconds away.
        """
        if self.channel.get_state() in (State.TRANSIENT_FAILURE, State.SHUTDOWN):
            if self.users > 1:  # another call's connect is under way or has just failed
                if self.channel.get_state() is State.SHUTDOWN:
                    return False
            else:
                await self.channel.close()
                self.channel = self.make()
                self._callables.clear()
        try:
            async with asyncio.timeout(patience.total_seconds()):
                state = self.channel.get_state(try_to_connect=True)
                begun = False
                while state is not State.READY:
                    if state is State.SHUTDOWN or (begun and state is State.TRANSIENT_FAILURE):
                        return False
                    begun = begun or state is State.CONNECTING
                    await self.channel.wait_for_state_change(state)
                    state = self.channel.get_state(try_to_connect=True)
                    begun = begun or state is State.TRANSIENT_FAILURE
                    if state is State.TRANSIENT_FAILURE:
                        return False
        except TimeoutError:
            return False
        return True


class Subchannels:
    """A process's connections to servers. The least lately used idle one makes room for another.

    Where all are in use more are opened than `most`: a call that the module has placed is not turned away for
    the sake of a bound on what stands idle.
    """

    def __init__(
        self,
        deadlines: TimerQueue,
        most: int,
        idle: timedelta,
        credentials: grpc.ChannelCredentials | None,
        options: Sequence[tuple[str, Any]],
        compression: Any,
    ) -> None:
        self._deadlines, self._most, self._idle = deadlines, most, idle
        self._credentials, self._compression = credentials, compression
        self._options = (*OPTIONS, *options)
        self._open: OrderedDict[tuple[str, int], Subchannel] = OrderedDict()
        self._closing: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._open)

    def _make(self, address: tuple[str, int]) -> Any:
        host, port = address
        target = f"ipv6:[{host}]:{port}" if ":" in host else f"ipv4:{host}:{port}"
        if self._credentials is None:
            return grpc.aio.insecure_channel(target, self._options, self._compression)
        return grpc.aio.secure_channel(target, self._credentials, self._options, self._compression)

    def take(self, address: tuple[str, int]) -> Subchannel:
        """The channel to a server, for a call; to be given back."""
        sub = self._open.get(address)
        if sub is None:
            self._make_room()
            sub = self._open[address] = Subchannel(lambda: self._make(address))
        else:
            self._open.move_to_end(address)
            if sub.idle is not None:
                self._deadlines.cancel(sub.idle)
                sub.idle = None
        sub.users += 1
        return sub

    def give_back(self, address: tuple[str, int], sub: Subchannel) -> None:
        """A call is done with it."""
        sub.users -= 1
        if not sub.users and self._open.get(address) is sub:
            sub.idle = self._deadlines.after(self._idle, self._drop, address)

    def _make_room(self) -> None:
        if len(self._open) >= self._most:
            for address, sub in self._open.items():
                if not sub.users:
                    self._drop(address)
                    return

    def _drop(self, address: tuple[str, int]) -> None:
        sub = self._open.pop(address)
        self._deadlines.cancel(sub.idle)
        task = asyncio.get_running_loop().create_task(sub.channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close them all. Calls that use one are cut off."""
        for address in list(self._open):
            self._drop(address)
        while self._closing:
            await asyncio.gather(*self._closing, return_exceptions=True)
