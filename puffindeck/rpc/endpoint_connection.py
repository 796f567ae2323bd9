"""One connect of a balanced endpoint: the engine's client, its attempts, and the connection that follows."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Protocol

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IProtocolFactory
from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure

from puffindeck.core.clock import milliseconds
from puffindeck.core.engine import Engine
from puffindeck.core.requests import AttemptId, UpstreamLink
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import Outcome, Settings
from puffindeck.rpc.endpoint_errors import Failed, Refused
from puffindeck.service_discovery.directory import Directory


class ConnectContext(Protocol):
    """What connects share: the engine, the addresses of the servers, and the reactor."""

    reactor: Any
    settings: Settings
    engine: Engine
    deadlines: TimerQueue
    directory: Directory


class BalancedConnect:
    """One connect, the engine's client. `result` fires with the protocol, or with Refused or Failed."""

    def __init__(self, context: ConnectContext, factory: IProtocolFactory) -> None:
        self.context = context
        self.factory: Any = factory
        self.request = 0  # the engine's number
        self.result: Deferred[Any] = Deferred(self._cancelled)
        self._protocol: Any = None

    def _cancelled(self, _: Deferred[Any]) -> None:
        self.context.engine.client_disconnected(self.request)

    def is_waiting(self) -> bool:
        """Does the caller still wait for the connection?"""
        return not self.result.called

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at an endpoint. None if it has ended already."""
        attempt = ConnectAttempt(self, attempt_id, endpoint)
        address = self.context.directory.addresses.get(endpoint)
        if address is None:
            attempt.finish(Outcome.CONNECT_FAILED)
            return None
        attempt.connect(address)
        return None if attempt.done else attempt

    def on_established(self, link: UpstreamLink) -> None:
        """The connection of this attempt stands: hand its protocol to the caller."""
        assert isinstance(link, ConnectAttempt)
        assert link.wrapper is not None
        self._protocol = link.wrapper
        self.result.callback(link.wrapper.wrappedProtocol)

    def reject(self, retry_after: timedelta) -> None:
        """Rejected by the decision module; a retry after `retry_after` does no harm."""
        self.result.errback(Failure(Refused(retry_after)))

    def fail(self) -> None:
        """Given up by the decision module; nothing is known of what a server has done."""
        self.result.errback(Failure(Failed()))

    def migrate(self) -> bool:
        """Migrate: notify a protocol that has `moveRequested`, as only it knows when its calls are done."""
        move_requested = getattr(self._protocol.wrappedProtocol, "moveRequested", None)
        if move_requested is not None:
            move_requested()
        return False


class AttemptProtocol(ProtocolWrapper):
    """The library's protocol unchanged; reports the connection's begin and end to the attempt."""

    def __init__(
        self, factory: WrappingFactory[AttemptProtocol], wrapped: Any, attempt: ConnectAttempt
    ) -> None:
        super().__init__(factory, wrapped)
        self._attempt = attempt

    def makeConnection(self, transport: Any) -> None:
        """Connect the library's protocol, if the attempt may still use the connection."""
        if self._attempt.accept(self, transport):
            super().makeConnection(transport)
            self._attempt.begin()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Pass the end on to the library's protocol, if it was connected, and to the attempt."""
        if self._attempt.began:
            super().connectionLost(reason)
        self._attempt.connection_lost(reason)


class ConnectAttempt(ClientFactory):
    """One attempt at a server, the engine's link. A connect counts as served: the bytes can't be read."""

    noisy = False

    def __init__(self, connect: BalancedConnect, attempt_id: AttemptId, endpoint: int) -> None:
        self._connect = connect
        self._attempt_id = attempt_id
        self._endpoint = endpoint
        self._engine = connect.context.engine
        self._deadlines = connect.context.deadlines
        self.done = False
        self.began = False
        self.wrapper: AttemptProtocol | None = None  # once connected
        self._connector: Any = None
        self._connect_deadline: Deadline | None = None

    def connect(self, address: tuple[str, int]) -> None:
        """Connect; takes the settings' connect timeout at most."""
        context = self._connect.context
        timeout = milliseconds(context.settings.connect_timeout_ms)
        self._connect_deadline = self._deadlines.after(timeout, self.finish, Outcome.CONNECT_FAILED)
        self._connector = context.reactor.connectTCP(*address, self, timeout=None)

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        """Wrap the protocol that the caller's factory builds; without one the attempt ends."""
        wrapped = self._connect.factory.buildProtocol(addr)
        if wrapped is None:
            self.finish(Outcome.ERROR)
            return None
        return AttemptProtocol(WrappingFactory(self._connect.factory), wrapped, self)

    def accept(self, wrapper: AttemptProtocol, transport: Any) -> bool:
        """The connection stands. False, and it is aborted, if it may not be used or nobody waits for it."""
        self._deadlines.cancel(self._connect_deadline)
        if not self.done and not self._engine.may_reach(self._endpoint):
            self.finish(Outcome.CONNECT_FAILED)
        if self.done:
            transport.abortConnection()
            return False
        self.wrapper = wrapper
        return True

    def begin(self) -> None:
        """The library's protocol is connected: report it to the engine."""
        self.began = True
        if not self._engine.attempt_established(self._attempt_id):
            self.abandon()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """The connect has failed."""
        self.finish(Outcome.CONNECT_FAILED)

    def connection_lost(self, reason: Failure) -> None:
        """The connection has ended, cleanly or not."""
        clean = reason.check("twisted.internet.error.ConnectionDone") is not None
        self.finish(Outcome.OK if clean else Outcome.RESET)

    def finish(self, outcome: Outcome) -> None:
        """End the attempt and report its outcome, once."""
        if not self.done:
            self.abandon()
            self._engine.attempt_ended(self._attempt_id, outcome)

    def read_available(self) -> None:
        """No response waits unread here."""

    def abandon(self) -> None:
        """End the attempt; nothing more is reported of it."""
        if not self.done:
            self.done = True
            self._deadlines.cancel(self._connect_deadline)
            if self.wrapper is not None:
                self.wrapper.loseConnection()
            elif self._connector is not None:
                self._connector.disconnect()
