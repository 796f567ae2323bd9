"""A connect of a balanced endpoint: the engine's client, its attempts and the resulting connection."""

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
    """The state that connects share: the engine, the servers' addresses and the reactor."""

    reactor: Any
    settings: Settings
    engine: Engine
    deadlines: TimerQueue
    directory: Directory


class BalancedConnect:
    """A single connect, which is a client of the engine.

    `result` fires with the connected protocol, or fails with Refused or Failed.
    """

    def __init__(self, context: ConnectContext, factory: IProtocolFactory) -> None:
        self.context = context
        self.factory: Any = factory
        self.request = 0  # the engine's number of this request
        self.result: Deferred[Any] = Deferred(self._on_cancelled)
        self._protocol: Any = None

    def _on_cancelled(self, _: Deferred[Any]) -> None:
        self.context.engine.client_disconnected(self.request)

    def is_waiting(self) -> bool:
        """Return whether the caller still waits for the connection."""
        return not self.result.called

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, answer_deadline: timedelta, start_deadline: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt at an endpoint. Returns None if the attempt has already ended."""
        attempt = ConnectAttempt(self, attempt_id, endpoint)
        address = self.context.directory.addresses.get(endpoint)
        if address is None:
            attempt.finish(Outcome.CONNECT_FAILED)
            return None
        attempt.connect(address)
        return None if attempt.done else attempt

    def on_established(self, link: UpstreamLink) -> None:
        """Pass the protocol of the established connection to the caller."""
        assert isinstance(link, ConnectAttempt)
        assert link.wrapper is not None
        self._protocol = link.wrapper
        self.result.callback(link.wrapper.wrappedProtocol)

    def reject(self, retry_after: timedelta) -> None:
        """Handle a rejection by the decision module. The caller may safely retry after `retry_after`."""
        self.result.errback(Failure(Refused(retry_after)))

    def fail(self) -> None:
        """Handle a failure that the decision module reports. A server may have processed the request."""
        self.result.errback(Failure(Failed()))

    def migrate(self) -> bool:
        """Call the protocol's `moveRequested` if it has one. Only the protocol knows when its calls are done.

        Returns False, because this method does not end the connection.
        """
        move_requested = getattr(self._protocol.wrappedProtocol, "moveRequested", None)
        if move_requested is not None:
            move_requested()
        return False


class AttemptProtocol(ProtocolWrapper):
    """Wraps the library's protocol and reports the start and end of the connection to the attempt."""

    def __init__(
        self, factory: WrappingFactory[AttemptProtocol], wrapped: Any, attempt: ConnectAttempt
    ) -> None:
        super().__init__(factory, wrapped)
        self._attempt = attempt

    def makeConnection(self, transport: Any) -> None:
        """Connect the library's protocol if the attempt can still use the connection."""
        if self._attempt.accept(self, transport):
            super().makeConnection(transport)
            self._attempt.report_established()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end to the library's protocol, if it was connected, and to the attempt."""
        if self._attempt.established:
            super().connectionLost(reason)
        self._attempt.connection_lost(reason)


class ConnectAttempt(ClientFactory):
    """An attempt at one server, which is the engine's UpstreamLink.

    The attempt is established as soon as it is connected, because the library's messages are opaque here.
    """

    noisy = False

    def __init__(self, connect: BalancedConnect, attempt_id: AttemptId, endpoint: int) -> None:
        self._connect = connect
        self._attempt_id = attempt_id
        self._endpoint = endpoint
        self._engine = connect.context.engine
        self._deadlines = connect.context.deadlines
        self.done = False
        self.established = False
        self.wrapper: AttemptProtocol | None = None  # None until the connection is accepted
        self._connector: Any = None
        self._connect_deadline: Deadline | None = None

    def connect(self, address: tuple[str, int]) -> None:
        """Connect to the address. The attempt fails after the connect timeout of the settings."""
        context = self._connect.context
        timeout = milliseconds(context.settings.connect_timeout_ms)
        self._connect_deadline = self._deadlines.after(timeout, self.finish, Outcome.CONNECT_FAILED)
        self._connector = context.reactor.connectTCP(*address, self, timeout=None)

    def buildProtocol(self, addr: Any) -> protocol.Protocol | None:
        """Wrap the protocol that the caller's factory builds. The attempt ends if it builds none."""
        wrapped = self._connect.factory.buildProtocol(addr)
        if wrapped is None:
            self.finish(Outcome.ERROR)
            return None
        return AttemptProtocol(WrappingFactory(self._connect.factory), wrapped, self)

    def accept(self, wrapper: AttemptProtocol, transport: Any) -> bool:
        """Accept the connection, or abort it and return False.

        It is aborted if the endpoint can no longer be used or the attempt has ended.
        """
        self._deadlines.cancel(self._connect_deadline)
        if not self.done and not self._engine.may_reach(self._endpoint):
            self.finish(Outcome.CONNECT_FAILED)
        if self.done:
            transport.abortConnection()
            return False
        self.wrapper = wrapper
        return True

    def report_established(self) -> None:
        """Report to the engine that the library's protocol is connected."""
        self.established = True
        if not self._engine.attempt_established(self._attempt_id):
            self.abandon()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report the failed connect to the engine."""
        self.finish(Outcome.CONNECT_FAILED)

    def connection_lost(self, reason: Failure) -> None:
        """Report the end of the connection to the engine: clean or reset."""
        clean = reason.check("twisted.internet.error.ConnectionDone") is not None
        self.finish(Outcome.OK if clean else Outcome.RESET)

    def finish(self, outcome: Outcome) -> None:
        """End the attempt and report its outcome to the engine, unless it has already ended."""
        if not self.done:
            self.abandon()
            self._engine.attempt_ended(self._attempt_id, outcome)

    def read_available(self) -> None:
        """Do nothing: the reactor delivers all bytes to the library's protocol."""

    def abandon(self) -> None:
        """End the attempt without reporting its end to the engine."""
        if not self.done:
            self.done = True
            self._deadlines.cancel(self._connect_deadline)
            if self.wrapper is not None:
                self.wrapper.loseConnection()
            elif self._connector is not None:
                self._connector.disconnect()
