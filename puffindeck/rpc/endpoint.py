"""A client endpoint (IStreamClientEndpoint) whose server the decision module chooses at each connect.

AMP, Perspective Broker or any other library that takes an endpoint connects through it: the module places,
retries and gives up as it does in a node, and what goes wrong comes out as a Failure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.interfaces import IProtocolFactory, IStreamClientEndpoint
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.logger import Logger
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from puffindeck.config import Members, Target
from puffindeck.core.clock import ZERO, Clock, milliseconds, to_ms
from puffindeck.core.engine import Engine
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import ListUpdateKind, Outcome, Settings
from puffindeck.policy import Balancer
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.keys import number

log = Logger("puffindeck")


class Refused(ConnectError):
    """No server was to be had in time. `wait` says how long to keep away, zero if nothing is known."""

    def __init__(self, wait: timedelta = ZERO) -> None:
        super().__init__(string=f"refused, come back in {to_ms(wait):.0f} ms" if wait else "refused")
        self.wait = wait


class Failed(ConnectError):
    """Given up, with no word on what a server has done."""

    def __init__(self) -> None:
        super().__init__(string="failed")


class Balancing:
    """The shared part: one decision module and the list of servers that its endpoints place on."""

    def __init__(self, reactor: Any, settings: Settings, seed: int, clock: Clock | None = None) -> None:
        self.reactor, self.settings = reactor, settings
        self.deadlines = TimerQueue(clock or Clock(), reactor)
        self.directory = Directory(settings.zones, settings.kinds)
        self.engine = Engine(Balancer(settings, seed), settings, self.deadlines, self._follow)
        self._asked: Callable[[], None] = lambda: None
        self._version = 0
        self._given: set[int] = set()  # the numbers of endpoints' classes

    def _follow(self) -> None:
        self._asked()

    def on_ask(self, ask: Callable[[], None]) -> None:
        """What to do when the module asks for the list. By default there is no more than `listed` says."""
        self._asked = ask

    def listed(self, targets: Iterable[Target]) -> None:
        """The whole list of servers, as it is now."""
        self._version += 1
        members = Members(self._version, True, list(targets))
        now = self.deadlines.clock.now()
        entries = self.directory.entries(members, now)
        self.directory.record_contact(now)
        self.engine.update_endpoints(ListUpdateKind.FULL, self._version, entries)

    def unlisted(self) -> None:
        """The list could not be had; the old one stays."""
        self.engine.update_endpoints(ListUpdateKind.FAILED)

    def retune(self, settings: Settings) -> None:
        """Other settings from now on. Endpoints that were handed out keep their class's number."""
        self.engine.apply_settings(settings, self._given)
        self.settings = settings

    def detach(self, uid: str) -> None:
        """Nothing new to this server until it is attached, whatever the list says."""
        self.engine.detach(self.directory.number(uid))

    def attach(self, uid: str) -> None:
        self.engine.attach(self.directory.number(uid))

    def endpoint(self, key: str = "", cls: str = "", deadline: timedelta | None = None) -> BalancedEndpoint:
        """An endpoint for connections of one key and class."""
        names = [c.name for c in self.settings.classes]
        if cls and cls not in names:
            raise ValueError(f"class {cls!r} is not one of {', '.join(names)}")
        number = [c.name for c in self.engine.settings.classes].index(cls or names[0])
        self._given.add(number)
        return BalancedEndpoint(self, key, number, deadline)

    def stop(self) -> None:
        """Nothing more is to be done: endpoints must not be used any more."""
        self.deadlines.clear()


@implementer(IStreamClientEndpoint)
class BalancedEndpoint:
    """Connects to whichever server the module places the key on."""

    def __init__(self, balancing: Balancing, key: str, cls: int, deadline: timedelta | None) -> None:
        self._balancing, self._key, self._cls = balancing, key, cls
        self._deadline = deadline or milliseconds(balancing.engine.settings.classes[cls].deadline_ms)

    def connect(self, protocolFactory: IProtocolFactory) -> Deferred[Any]:
        """A Deferred of the protocol, connected; or a Failure with Refused or Failed."""
        attempt = _Connect(self._balancing, protocolFactory)
        key = number(self._key.encode()) if self._key else 0
        attempt.request = self._balancing.engine.request(attempt, Request(self._cls, key, self._deadline))
        return attempt.answer


class _Connect:
    """One connect: the engine's client."""

    def __init__(self, balancing: Balancing, factory: Any) -> None:
        self.balancing, self.factory = balancing, factory
        self.request = 0
        self.answer: Deferred[Any] = Deferred(self._cancelled)
        self._protocol: Any = None

    def _cancelled(self, _: Deferred[Any]) -> None:
        self.balancing.engine.client_disconnected(self.request)

    def is_waiting(self) -> bool:
        """Is it still there to be served?"""
        return not self.answer.called

    def start_attempt(
        self, ticket: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        link = _Attempt(self, ticket, endpoint)
        address = self.balancing.directory.addresses.get(endpoint)
        if address is None:
            link.finish(Outcome.CONNECT_FAILED)
            return None
        link.connect(address)
        return None if link.done else link

    def on_established(self, link: UpstreamLink) -> None:
        assert isinstance(link, _Attempt)
        assert link.wrapper is not None
        self._protocol = link.wrapper
        self.answer.callback(link.wrapper.wrappedProtocol)

    def reject(self, wait: timedelta) -> None:
        self.answer.errback(Failure(Refused(wait)))

    def fail(self) -> None:
        self.answer.errback(Failure(Failed()))

    def migrate(self) -> bool:
        """Only the library knows whether its calls are done: a protocol that can, is told."""
        told = getattr(self._protocol.wrappedProtocol, "moveRequested", None)
        if told is not None:
            told()
        return False


class _Wrapper(ProtocolWrapper):
    """The library's protocol as it is, and word of its end to the core."""

    def __init__(self, factory: Any, wrapped: Any, attempt: _Attempt) -> None:
        super().__init__(factory, wrapped)
        self._attempt = attempt

    def makeConnection(self, transport: Any) -> None:
        if self._attempt.up(self, transport):
            super().makeConnection(transport)
            self._attempt.begin()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self._attempt.began:
            super().connectionLost(reason)
        self._attempt.lost(reason)


class _Attempt(ClientFactory):
    """One attempt at a server: a connect, as the library's own talk can't be read."""

    noisy = False

    def __init__(self, connect: _Connect, ticket: AttemptId, endpoint: int) -> None:
        self._connect, self._ticket, self._server = connect, ticket, endpoint
        self._engine, self._deadlines = connect.balancing.engine, connect.balancing.deadlines
        self.done = self.began = False
        self.wrapper: _Wrapper | None = None
        self._connector: Any = None
        self._patience: Deadline | None = None

    def connect(self, address: tuple[str, int]) -> None:
        patience = milliseconds(self._connect.balancing.settings.connect_timeout_ms)
        self._patience = self._deadlines.after(patience, self.finish, Outcome.CONNECT_FAILED)
        self._connector = self._connect.balancing.reactor.connectTCP(*address, self, timeout=None)

    def buildProtocol(self, addr: Any) -> Protocol | None:
        wrapped = self._connect.factory.buildProtocol(addr)
        if wrapped is None:
            self.finish(Outcome.ERROR)
            return None
        return _Wrapper(WrappingFactory(self._connect.factory), wrapped, self)

    def up(self, wrapper: _Wrapper, transport: Any) -> bool:
        """The connection is there: may it still be used, and is somebody waiting for it?"""
        self._deadlines.cancel(self._patience)
        if not self.done and not self._engine.may_reach(self._server):
            self.finish(Outcome.CONNECT_FAILED)
        if self.done:
            transport.abortConnection()
            return False
        self.wrapper = wrapper
        return True

    def begin(self) -> None:
        self.began = True
        if not self._engine.attempt_established(self._ticket):
            self.abandon()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.finish(Outcome.CONNECT_FAILED)

    def lost(self, reason: Failure) -> None:
        clean = reason.check("twisted.internet.error.ConnectionDone") is not None
        self.finish(Outcome.OK if clean else Outcome.RESET)

    def finish(self, outcome: Outcome) -> None:
        if not self.done:
            self.abandon()
            self._engine.attempt_ended(self._ticket, outcome)

    def read_available(self) -> None:
        """Nothing waits unread here."""

    def abandon(self) -> None:
        if not self.done:
            self.done = True
            self._deadlines.cancel(self._patience)
            if self.wrapper is not None:
                self.wrapper.loseConnection()
            elif self._connector is not None:
                self._connector.disconnect()
