"""The admin API: operators' calls over HTTP on an address of its own."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from io import BytesIO
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import Factory
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web import http

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net.detachment import Detachment
from puffindeck.net.fleet_member import FleetMember
from puffindeck.net.lifecycle import Lifecycle

log = Logger("puffindeck")

# Limit on simultaneous connections. A complete call is answered in the reactor turn in which it is read,
# so only stalled callers occupy a connection for longer.
MAX_CALLERS = 16
CALL_TIMEOUT = milliseconds(3000)  # time for a caller to send a complete call
# A call must be answered within 1 s. It waits up to RECORD_TIMEOUT for its record to be written, and checks
# for it at each RECORD_CHECK_INTERVAL.
RECORD_TIMEOUT = milliseconds(700)
RECORD_CHECK_INTERVAL = milliseconds(50)

Arguments = dict[bytes, list[bytes]]


class Response(NamedTuple):
    """An HTTP status and the one line of its body."""

    status: int
    text: str


Answer = Response | Deferred[Response]
YES = Response(http.OK, "yes")


class Route(NamedTuple):
    """The HTTP method that a path accepts, and its handler."""

    method: bytes
    handler: Callable[[Arguments], Answer]


class AdminRequest(http.Request):
    """One call. No call has a body; if one is sent it is discarded."""

    channel: Any

    def gotLength(self, length: int | None) -> None:
        """Prepare for a body (Twisted's hook) without allocating storage for it."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Discard a part of a body (Twisted's hook), which the library would store in memory or a file."""

    def process(self) -> None:
        """Answer the call (Twisted's hook)."""
        self.channel.persistent = False
        api: AdminApi = self.channel.factory
        answered: Deferred[Any] = maybeDeferred(api.answer, self.method, self.path, self.args)
        answered.addErrback(self._failed)  # a call that raised is never answered with yes
        answered.addCallback(self._respond)

    @staticmethod
    def _failed(failure: Failure) -> Response:
        log.failure("staff: call failed", failure)
        return Response(http.INTERNAL_SERVER_ERROR, f"no: {failure.getErrorMessage()}")

    def _respond(self, response: Response) -> None:
        if self.method != b"GET":  # readiness may be polled many times per second
            log.info(
                "staff: {method} {uri}: {status} {text}",
                method=self.method[:20].decode("latin-1"),
                uri=self.uri[:200].decode("latin-1"),
                status=response.status,
                text=response.text,
            )
        if self._disconnected:
            return
        body = f"{response.text}\n".encode()
        self.setResponseCode(response.status)
        kind = b"application/json" if response.text.startswith("{") else b"text/plain; charset=utf-8"
        self.setHeader(b"content-type", kind)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.setHeader(b"connection", b"close")
        self.write(body)
        self.finish()


class AdminChannel(http.HTTPChannel):
    """A caller's connection, closed after one call or at CALL_TIMEOUT."""

    requestFactory = AdminRequest
    timeOut = None  # the node's timer queue limits the time instead
    factory: Any
    transport: Any

    def connectionMade(self) -> None:
        """Register a new caller and start its time-out (Twisted's hook)."""
        super().connectionMade()
        api: AdminApi = self.factory
        self._timeout = api.deadlines.after(CALL_TIMEOUT, self.evict)
        api.on_connected(self)

    def evict(self) -> None:
        """Close the connection at its time-out, or to make place for a newer caller."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """Remove a disconnected caller (Twisted's hook)."""
        self.factory.deadlines.cancel(self._timeout)
        self.factory.callers.pop(self, None)
        super().connectionLost(reason)


class AdminApi(Factory):
    """The routes of the admin API, and its connected callers, oldest first."""

    noisy = False
    protocol = AdminChannel

    def __init__(
        self,
        lifecycle: Lifecycle,
        detachment: Detachment,
        fleet_member: FleetMember,
        deadlines: TimerQueue,
    ) -> None:
        self._lifecycle = lifecycle
        self._detachment = detachment
        self.deadlines = deadlines
        self.callers: dict[AdminChannel, None] = {}
        self._routes = {
            b"/_ready": Route(b"GET", self._ready),
            b"/_hosts/detach": Route(b"PUT", lambda args: self._change_host(args, detachment.detach)),
            b"/_hosts/attach": Route(b"PUT", lambda args: self._change_host(args, detachment.attach)),
            b"/_lameduck/on": Route(b"PUT", self._drain),
            b"/_lameduck/off": Route(b"PUT", self._undrain),
            b"/_fleet": Route(b"GET", lambda args: self._show(fleet_member.status())),
            b"/_quotas": Route(b"GET", lambda args: self._show(fleet_member.quota_status())),
            b"/_residency": Route(b"GET", lambda args: self._show(fleet_member.residency_status())),
        }

    def log(self, request: AdminRequest) -> None:
        """Write no access log (Twisted's hook): `AdminRequest` logs each call with its answer."""

    def on_connected(self, caller: AdminChannel) -> None:
        """Register a caller. Above MAX_CALLERS evict the oldest, so that stalled callers block no others."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.evict()

    def answer(self, method: bytes, path: bytes, args: Arguments) -> Answer:
        """Return the answer to a call with this method, path and query."""
        route = self._routes.get(path)
        if route is None:
            return Response(http.NOT_FOUND, "no such call")
        if method != route.method:
            return Response(http.NOT_ALLOWED, f"{route.method.decode()} it")
        return route.handler(args)

    def _await_record(self, host: str, ends: timedelta) -> Answer:
        """Answer yes once the call is recorded on disk. A failed write is retried until `ends`."""
        why = self._detachment.record_error(host)
        if not why:
            return YES
        if self.deadlines.clock.now() >= ends:
            text = f"no: it holds here, but can't be recorded yet: {why}"
            return Response(http.INSUFFICIENT_STORAGE_SPACE, text)
        later: Deferred[Response] = Deferred()
        self.deadlines.after(RECORD_CHECK_INTERVAL, later.callback, None)
        later.addCallback(lambda _: self._await_record(host, ends))
        return later

    def _ready(self, _: Arguments) -> Answer:
        why = self._lifecycle.reason_not_ready()
        return Response(http.SERVICE_UNAVAILABLE, f"no: {why}") if why else YES

    def _change_host(self, args: Arguments, change: Callable[[str], bool]) -> Answer:
        named = args.get(b"member", [])
        if len(named) != 1 or not named[0]:
            return Response(http.BAD_REQUEST, "no: one member=ID")
        try:
            host = named[0].decode()
        except UnicodeDecodeError:
            return Response(http.BAD_REQUEST, "no: member is not UTF-8")
        if not change(host):
            return Response(http.NOT_FOUND, "no: the list has not named this host")
        return self._await_record(host, self.deadlines.clock.now() + RECORD_TIMEOUT)

    @staticmethod
    def _show(document: str) -> Answer:
        if not document:
            return Response(http.NOT_FOUND, "no: this instance is no member of a fleet")
        return Response(http.OK, document)

    def _drain(self, _: Arguments) -> Answer:
        self._lifecycle.drain()
        return YES

    def _undrain(self, _: Arguments) -> Answer:
        return YES if self._lifecycle.undrain() else Response(http.CONFLICT, "no: it stops")
