"""A node's parts, for those that work on them: its state, and what they may ask of the whole."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.logger import Logger

from puffindeck.config import Node as Told
from puffindeck.core.clock import Clock, span
from puffindeck.core.engine import Decisions, Engine
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.net.admission import AdmissionControl
from puffindeck.net.logs import Few
from puffindeck.net.operator import CALLERS
from puffindeck.net.records import Records
from puffindeck.net.request_log import RequestLog
from puffindeck.net.upgrade import Generation
from puffindeck.net.wall_clock import WallClock
from puffindeck.policy import Balancer
from puffindeck.service_discovery.directory import Directory

log = Logger("puffindeck")


def balancer_of(told: Told, directory: Directory) -> Any:
    """The decision module; one for each tier where there are pools; on an evened ring if asked."""
    settings, seed = told.settings, told.seed
    if told.routing is not None:
        from puffindeck.routing import PoolRouter

        return PoolRouter(told.routing, settings, seed, directory.number, directory.name)
    if not settings.evenness:
        return Balancer(settings, seed)
    from puffindeck.client_side import SmoothedRingBalancer  # stays out of a node that has no use for it

    return SmoothedRingBalancer(settings, seed)


class Parts:
    """What a node is made of."""

    def __init__(self, reactor: Any, told: Told, clock: Clock) -> None:
        self.reactor, self.told = reactor, told
        settings = told.settings
        self.deadlines = TimerQueue(clock, reactor)
        self.directory = Directory(settings.zones, settings.kinds)
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}  # those served, and their numbers
        self.named = set(self.classes)  # less those that were dropped just now
        self.connect_patience = span(settings.connect_timeout_ms)
        self.fleet: Any = None  # puffindeck_fleet.Fleet, for a member of one
        self.governor: Any = None  # puffindeck_fleet.Governor, where there are quotas or rules
        self.failed: str = ""  # why this process has to end with an error
        balancer = self._governed(balancer_of(told, self.directory))
        self.request_log = RequestLog(log, self.deadlines, self.directory.name)
        self.engine = Engine(balancer, settings, self.deadlines, self._follow, self.request_log)
        if self.fleet is not None:
            self.fleet.join(self.engine, self.governor)
        self.watch = self._watch(told.known.rev) if told.discovery else None
        self.clients: set[Any] = set()  # ClientLine
        self.links: set[Any] = set()  # connections to hosts, those on their way out too
        self.open_ids: set[bytes] = set()  # of clients' requests, until they are answered or their end
        self.admission = AdmissionControl(told.sockets, CALLERS if told.operator else 0, self._used)
        self.few = Few(log, self.deadlines, "client: first line can't be read")
        self.few_records = Few(log, self.deadlines, "staff: records can't be read")
        self.ready = self.shut = self.ended = False
        self.leaving: Any = None  # GracefulShutdown
        self._read_again: Deadline | None = None  # of a file that could not be read
        self._waiting: dict[Callable[[bool], None], None] = {}  # in the order in which they asked
        self.wall_clock = WallClock()
        self.records, self.detached = Records(told.folder / "detached"), set[str]()
        self.unrecorded: dict[str, str] = {}  # hosts whose record the folder has not taken, and why
        self.generation = Generation(told.folder / "processes")
        self.port: Any = None
        self.more_ports: list[Any] = []  # of listeners that routes tell apart
        self.operator = self._operator()
        self.operator_port: Any = None
        self.quic: Any = None  # QuicFront

    def _operator(self) -> Any:
        raise NotImplementedError

    def _governed(self, balancer: Any) -> Decisions:
        raise NotImplementedError

    def _watch(self, version: int | None) -> Any:
        raise NotImplementedError

    def _follow(self) -> None:
        raise NotImplementedError

    def _used(self) -> int:
        raise NotImplementedError

    def _hand_over(self) -> None:
        """A newer process is ready."""
        raise NotImplementedError

    def shut_door(self, for_good: bool) -> None:
        """Serve nobody more."""
        raise NotImplementedError

    def shut_ports(self) -> bool:
        """Take in all that wait at the ports, then close those. False if somebody came, who waits too."""
        raise NotImplementedError

    def stop(self) -> None:
        """Answer all, move every standing connection, and go."""
        raise NotImplementedError

    def when_ready(self, act: Callable[[bool], None]) -> None:
        """Say it once the node serves."""
        raise NotImplementedError

    def no_longer(self, act: Callable[[bool], None]) -> None:
        """Whoever waited for that has gone."""
        self._waiting.pop(act, None)

    def crowded(self) -> bool:
        """Are there too few descriptors left for one more client and its host?"""
        raise NotImplementedError

    def retry_after(self) -> timedelta:
        """When a client refused by a node without room may come again."""
        raise NotImplementedError
