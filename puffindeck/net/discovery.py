"""Discovery over HTTP: the whole list where there is none yet, then a watch on its changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints
from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from puffindeck.core.deadlines import Deadline, Deadlines
from puffindeck.core.engine import Engine
from puffindeck.interface import ListKind
from puffindeck.roster.directory import Directory
from puffindeck.roster.watch import ANSWER, MOST, SILENT, WatchError, WatchState, kind

log = Logger("puffindeck")


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """Straight to an address: hosts here have no names to look up."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:
        host = uri.host.decode()
        kind = endpoints.TCP6ClientEndpoint if ":" in host else endpoints.TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=2)


class _Lines(LineOnlyReceiver):
    """The lines of a watch."""

    delimiter = b"\n"
    MAX_LENGTH = MOST
    transport: Any = None

    def __init__(self, watch: Watch) -> None:
        self.watch: Watch | None = watch

    def lineReceived(self, line: bytes) -> None:
        if self.watch is not None:
            self.watch.line(line.strip())

    def lineLengthExceeded(self, line: bytes) -> None:
        if self.watch is not None:
            self.watch.broken("a line over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        if self.watch is not None:
            self.watch.broken("it ended")

    def drop(self) -> None:
        """Close it; nothing more is heard of it."""
        self.watch = None
        if self.transport is not None:
            self.transport.loseConnection()


class _Whole(_Lines):
    """The answer that has the whole list, read to its end."""

    def __init__(self, watch: Watch) -> None:
        super().__init__(watch)
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        if self._size > self.MAX_LENGTH and self.watch is not None:
            self.watch.broken("a list over 4 MiB")

    def connectionLost(self, reason: Any = None) -> None:
        if self.watch is not None:  # one cut short can't be read
            self.watch.whole(b"".join(self._parts))


class Watch:
    """One watch at a time. When it breaks the module is told, and says when to ask again.

    With no version to watch from, the whole list is asked for first.
    """

    def __init__(
        self, reactor: Any, discovery: tuple[str, int], deadlines: Deadlines, directory: Directory,
        engine: Engine, version: int | None, heard: Callable[[], None],
    ) -> None:
        host, port = discovery
        self._base = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent.usingEndpointFactory(reactor, _Endpoints(reactor), pool)
        self._deadlines, self._directory, self._engine = deadlines, directory, engine
        self._state, self._heard = WatchState(version), heard
        self._call: Deferred[Any] | None = None
        self._lines: _Lines | None = None
        self._patience: Deadline | None = None
        self._stopped = False

    @property
    def version(self) -> int | None:
        """How far the list is known."""
        return self._state.version

    def ask(self) -> None:
        """Watch from what is known on. A call while one is out would cost discovery twice."""
        if self._call is not None or self._lines is not None or self._stopped:
            return
        url = self._base + self._state.target()
        self._patience = self._deadlines.after(ANSWER, self.broken, "no answer")
        self._call = call = self._agent.request(b"GET", url.encode())
        call.addCallbacks(self._answered, self._refused)

    def _answered(self, response: Any) -> None:
        self._call = None
        if self._stopped:
            return
        self._lines = lines = _Lines(self) if self._state.watching else _Whole(self)
        if response.code != 200:  # one failure, not a second one when its body ends
            lines.watch = None
            response.deliverBody(lines)
            self.broken(f"status {response.code}")
            return
        if self._state.watching:
            self._wait_on()
        response.deliverBody(lines)

    def _refused(self, failure: Failure) -> None:
        if self._call is not None:
            self._call = None
            self.broken(failure.getErrorMessage())

    def _wait_on(self) -> None:
        self._deadlines.cancel(self._patience)
        self._patience = self._deadlines.after(SILENT, self.broken, "silent")

    def line(self, line: bytes) -> None:
        """An empty line says only that the watch is alive."""
        self._wait_on()
        if line:
            self._read(line)

    def whole(self, text: bytes) -> None:
        """The whole list has come, and what changes in it from now on is watched."""
        if self._read(text):
            self._drop()
            self.ask()

    def _read(self, text: bytes) -> bool:
        try:
            members = self._state.whole(text)
        except WatchError as error:
            self.broken(str(error))
            return False
        self._engine.listed(kind(members), members.rev, self._directory.entries(members))
        self._heard()
        return True

    def broken(self, why: str) -> None:
        """The call or the watch has failed."""
        self._drop()
        if not self._stopped:
            log.warn("discovery: watch broken: {why}", why=why)
            self._engine.listed(ListKind.FAILED)
            self._heard()

    def _drop(self) -> None:
        self._deadlines.cancel(self._patience)
        call, lines = self._call, self._lines
        self._call = self._lines = None
        if call is not None:
            call.cancel()
        if lines is not None:
            lines.drop()

    def stop(self) -> None:
        self._stopped = True
        self._drop()
