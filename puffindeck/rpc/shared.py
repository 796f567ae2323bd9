"""What the channels of one configuration share in an event loop: roster, decision state, clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import STDLibLogObserver, globalLogPublisher

from puffindeck.client_side import ClientBalancer
from puffindeck.config.client import Client
from puffindeck.core.clock import Clock, ms
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ListUpdateKind, TimerFired
from puffindeck.rpc.roster import Roster
from puffindeck.service_discovery.directory import Directory

_OBSERVER: Any = STDLibLogObserver("puffindeck")  # a partner's process logs with the standard library


class LoopTimers:
    """An event loop as the core's deadlines want it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def callLater(self, delay: float, callable: Callable[..., Any]) -> asyncio.TimerHandle:
        return self._loop.call_later(delay, callable)


class Shared:
    """The decision module, its core and the roster of one event loop."""

    _of: dict[tuple[int, bytes], Shared] = {}  # by loop and configuration  # noqa: RUF012

    def __init__(self, told: Client, key: tuple[int, bytes] | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.told, self._key, self.users = told, key, 0
        self.clock = Clock()
        self.deadlines = TimerQueue(self.clock, LoopTimers(self.loop))
        self.directory = Directory(told.settings.zones, told.settings.kinds)
        self.member = self._decisions()
        self.engine = Engine(self.member, told.settings, self.deadlines, self._follow)
        self._changes: set[asyncio.Future[None]] = set()
        self.roster = (
            Roster(told.discovery, self.directory, self.engine, self._heard) if told.discovery else None
        )
        if told.known.targets:
            kind = ListUpdateKind.CACHED if self.roster else ListUpdateKind.FULL
            entries = self.directory.entries(told.known, self.clock.now())
            self.engine.listed(kind, told.known.rev, entries)
        else:
            self.engine.tell(TimerFired(0))  # the module's first word: it asks for the list

    def _decisions(self) -> Any:
        told = self.told
        if told.routing is None:
            return ClientBalancer(told.settings, told.seed)
        from puffindeck.client_side.pool_router import ClientPoolRouter  # only where there are pools

        names = self.directory
        return ClientPoolRouter(told.routing, told.settings, told.seed, names.number, names.name)

    @classmethod
    def take(cls, told: Client, alone: bool = False) -> Shared:
        """The running loop's, made where there is none; to be released. `alone`: nobody else gets it."""
        if not globalLogPublisher._observers.count(_OBSERVER):
            globalLogPublisher.addObserver(_OBSERVER)
        text = msgspec.json.encode([told.discovery, told.known, repr(told.settings), repr(told.routing)])
        key = (id(asyncio.get_running_loop()), text)
        shared = None if alone else cls._of.get(key)
        if shared is None:
            shared = cls(told, None if alone else key)
            if not alone:
                cls._of[key] = shared
        shared.users += 1
        return shared

    async def release(self) -> None:
        """Let go of it; the last one to do so ends it."""
        self.users -= 1
        if not self.users:
            if self._key is not None:
                self._of.pop(self._key, None)
            if self.roster is not None:
                await self.roster.stop()
            self.deadlines.clear()
            self.wake()

    def _follow(self) -> None:
        if self.roster is not None:
            self.roster.ask()

    def _heard(self) -> None:
        self.member.heard(ms(self.clock.now()))
        self.wake()

    @property
    def age_ms(self) -> float:
        """How long ago the roster last gave a sign of life, in milliseconds; infinite before the first."""
        return float(self.member.age_ms(ms(self.clock.now())))

    def wake(self) -> None:
        """Something may have changed: whoever waits for that looks again."""
        for waiting in self._changes:
            if not waiting.done():
                waiting.set_result(None)
        self._changes.clear()

    async def change(self) -> None:
        """Until the roster has given a sign of life."""
        waiting: asyncio.Future[None] = self.loop.create_future()
        self._changes.add(waiting)
        try:
            await waiting
        finally:
            self._changes.discard(waiting)
