"""What the channels of one configuration share in an event loop: endpoint list, decision state, clock."""

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

_OBSERVER: Any = STDLibLogObserver("puffindeck")  # a partner's process logs with the standard library


class ClientDecisions(Decisions, Protocol):
    """The decision module of one client, or one for each pool."""

    @property
    def random(self) -> Random:
        """The module's seeded generator."""

    @property
    def ready(self) -> object:
        """True where the endpoint list names a server that may be sent to."""

    @property
    def version(self) -> int:
        """The version of the endpoint list; under 0 before the first."""

    @property
    def list_failures(self) -> int:
        """How often in a row the list could not be had."""

    def heard(self, now_ms: float) -> None:
        """Discovery has given a sign of life."""

    def age_ms(self, now_ms: float) -> float:
        """Milliseconds since the last sign of life; infinite before the first."""


class LoopTimers:
    """An asyncio event loop as `TimerQueue` wants it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def callLater(self, delay: float, callable: Callable[..., Any]) -> asyncio.TimerHandle:
        """Call it after `delay` seconds."""
        return self._loop.call_later(delay, callable)


class _InstanceKey(NamedTuple):
    loop_id: int  # id() of the event loop
    configuration: bytes  # what instances may share


class SharedState:
    """The decision module, its engine and the endpoint list of one event loop."""

    _instances: dict[_InstanceKey, SharedState] = {}  # noqa: RUF012

    def __init__(self, config: ClientConfig, key: _InstanceKey | None) -> None:
        """For the running loop. `key` is its place among the instances; None where nobody else gets it."""
        self.loop = asyncio.get_running_loop()
        self.config = config
        self._key = key
        self._users = 0
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
        from puffindeck.client_side.pool_router import ClientPoolRouter  # only where there are pools

        names = self.directory
        return ClientPoolRouter(config.routing, config.settings, config.seed, names.number, names.name)

    def _load_known_endpoints(self) -> None:
        """Begin with the list of the configuration, or have the decision module request one."""
        known = self.config.file_endpoints
        if known.targets:
            kind = ListUpdateKind.CACHED if self.endpoint_watch else ListUpdateKind.FULL
            self.engine.update_endpoints(kind, known.rev, self.directory.entries(known, self.clock.now()))
        else:
            self.engine.dispatch(TimerFired(0))  # the module's first event: it requests the list

    @classmethod
    def acquire(cls, config: ClientConfig, alone: bool = False) -> SharedState:
        """The running loop's state, made if needed; to be released. `alone`: no other user gets it."""
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
        shared._users += 1
        return shared

    async def release(self) -> None:
        """Give it back; the last user's release ends it."""
        self._users -= 1
        if not self._users:
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
        self.balancer.heard(to_ms(self.clock.now()))
        self.notify()

    @property
    def list_age_ms(self) -> float:
        """Milliseconds since discovery last gave a sign of life; infinite before the first."""
        return self.balancer.age_ms(to_ms(self.clock.now()))

    def notify(self) -> None:
        """Wake all that wait for a change of the endpoint list."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait_for_change(self) -> None:
        """Wait until discovery has given a sign of life, or the state was released."""
        waiter: asyncio.Future[None] = self.loop.create_future()
        self._waiters.add(waiter)
        try:
            await waiter
        finally:
            self._waiters.discard(waiter)
