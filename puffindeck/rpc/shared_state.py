"""State that channels of the same configuration and event loop share: endpoint list, decisions and clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple, Protocol

import msgspec
from twisted.logger import STDLibLogObserver, globalLogPublisher

from puffindeck.client_side import ClientBalancer
from puffindeck.config.client_config import ClientConfig
from puffindeck.core.clock import Clock, to_ms
from puffindeck.core.dispatcher import Decisions
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ListUpdateKind, TimerFired
from puffindeck.service_discovery.asyncio_watch import EndpointWatch
from puffindeck.service_discovery.directory import Directory

# Forwards Twisted's log to the standard library's `logging`, which applications of the plug-in use.
_OBSERVER: Any = STDLibLogObserver("puffindeck")


class ClientDecisions(Decisions, Protocol):
    """The decision module of a client, without or with pools."""

    @property
    def random(self) -> Random:
        """The module's seeded random number generator."""

    @property
    def ready(self) -> object:
        """A true value if the endpoint list has a server that accepts calls."""

    @property
    def version(self) -> int:
        """The version of the endpoint list; negative before the first list."""

    @property
    def list_failures(self) -> int:
        """The number of consecutive failures to obtain the endpoint list."""

    def confirm_list(self, now_ms: float) -> None:
        """Record that discovery has responded at `now_ms`, on the clock of the engine."""

    def endpoint_list_age_ms(self, now_ms: float) -> float:
        """Return the milliseconds since discovery last responded; infinite before its first response."""


class LoopTimers:
    """Adapts an asyncio event loop to the timer interface that `TimerQueue` uses."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def callLater(self, delay: float, callable: Callable[..., Any]) -> asyncio.TimerHandle:
        """Call `callable` after `delay` seconds."""
        return self._loop.call_later(delay, callable)


class _InstanceKey(NamedTuple):
    loop_id: int  # id() of the event loop
    configuration: bytes  # the encoded parts of the configuration that must be equal to share an instance


class SharedState:
    """The decision module, engine and endpoint list of an event loop, with a reference count."""

    _instances: dict[_InstanceKey, SharedState] = {}  # noqa: RUF012

    def __init__(self, config: ClientConfig, key: _InstanceKey | None) -> None:
        """Belongs to the running event loop. `key` identifies a shared instance; None if it is not shared."""
        self.loop = asyncio.get_running_loop()
        self.config = config
        self._key = key
        self._reference_count = 0
        self.clock = Clock()
        self.deadlines = TimerQueue(self.clock, LoopTimers(self.loop))
        self.directory = Directory(config.settings.zones, config.settings.kinds)
        self.balancer: ClientDecisions = self._make_balancer()
        self.engine = Engine(self.balancer, config.settings, self.deadlines, self._watch_endpoints)
        self._waiters: set[asyncio.Future[None]] = set()
        self.endpoint_watch: EndpointWatch | None = None
        if config.discovery:
            self.endpoint_watch = EndpointWatch(
                config.discovery, self.directory, self.engine, self._on_discovery_alive
            )
        self._load_known_endpoints()

    def _make_balancer(self) -> ClientDecisions:
        config = self.config
        if config.routing is None:
            return ClientBalancer(config.settings, config.seed)
        from puffindeck.client_side.pool_router import ClientPoolRouter  # loaded only if pools are configured

        names = self.directory
        return ClientPoolRouter(config.routing, config.settings, config.seed, names.number, names.name)

    def _load_known_endpoints(self) -> None:
        """Start with the list in the configuration, or else let the decision module request one."""
        known = self.config.file_endpoints
        if known.targets:
            kind = ListUpdateKind.CACHED if self.endpoint_watch else ListUpdateKind.FULL
            self.engine.update_endpoints(kind, known.rev, self.directory.entries(known, self.clock.now()))
        else:
            self.engine.dispatch(TimerFired(0))  # on its first event, the module requests the list

    @classmethod
    def acquire(cls, config: ClientConfig, alone: bool = False) -> SharedState:
        """Return the state for the running event loop, which is created if needed and must be released.

        With `alone`, the state is new and is not shared.
        """
        if not globalLogPublisher._observers.count(_OBSERVER):
            globalLogPublisher.addObserver(_OBSERVER)
        text = msgspec.json.encode(
            [config.discovery, config.file_endpoints, repr(config.settings), repr(config.routing)]
        )
        key = _InstanceKey(id(asyncio.get_running_loop()), text)
        shared = None if alone else cls._instances.get(key)
        if shared is None:
            shared = cls(config, None if alone else key)
            if not alone:
                cls._instances[key] = shared
        shared._reference_count += 1
        return shared

    async def release(self) -> None:
        """Release the state. The last release stops it."""
        self._reference_count -= 1
        if not self._reference_count:
            if self._key is not None:
                self._instances.pop(self._key, None)
            if self.endpoint_watch is not None:
                await self.endpoint_watch.stop()
            self.deadlines.clear()
            self.notify()

    def _watch_endpoints(self) -> None:
        if self.endpoint_watch is not None:
            self.endpoint_watch.start()

    def _on_discovery_alive(self) -> None:
        self.balancer.confirm_list(to_ms(self.clock.now()))
        self.notify()

    @property
    def list_age_ms(self) -> float:
        """Milliseconds since discovery last responded; infinite before its first response."""
        return self.balancer.endpoint_list_age_ms(to_ms(self.clock.now()))

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the endpoint list."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_for_change(self) -> None:
        """Wait until discovery responds or the state is released."""
        waiter: asyncio.Future[None] = self.loop.create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
