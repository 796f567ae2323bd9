"""The second address: staff's calls over HTTP. It decides nothing: it asks the node, and says yes or no."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from io import BytesIO
from typing import Any, Protocol

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import Factory
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web import http

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue

log = Logger("puffindeck")

Answer = tuple[int, str] | Deferred[tuple[int, str]]  # a status and its line, now or soon

CALLERS = 16  # connections at once; a whole call is answered in the turn in which it is read
PATIENCE = milliseconds(3000)  # how long a caller may be without a whole call
# A call is due its answer within 1 s; so long, and so often, it is looked whether the record is written.
RECORDED, RECORD_AGAIN = milliseconds(700), milliseconds(50)


class Staffed(Protocol):
    """What staff may ask of a node. A call that can't be met says why."""

    def why_not_ready(self) -> str: ...

    def detach(self, host: str) -> bool: ...

    def attach(self, host: str) -> bool: ...

    def unrecorded_because(self, host: str) -> str: ...

    def drain(self) -> None: ...

    def undrain(self) -> bool: ...

    def fleet_view(self) -> str: ...

    def quotas_view(self) -> str: ...

    def residency_view(self) -> str: ...


class Call(http.Request):
    """One call. No call has a body: what comes of one is let go."""

    channel: Any

    def gotLength(self, length: int | None) -> None:
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """The library would keep it, a large one in a file, which counts as memory here."""

    def process(self) -> None:
        self.channel.persistent = False
        factory: Operator = self.channel.factory
        answered: Deferred[Any] = maybeDeferred(factory.answer, self.method, self.path, self.args)
        answered.addErrback(self._failed)  # no yes without the deed
        answered.addCallback(self._respond)

    @staticmethod
    def _failed(failure: Failure) -> tuple[int, str]:
        log.failure("staff: call failed", failure)
        return http.INTERNAL_SERVER_ERROR, f"no: {failure.getErrorMessage()}"

    def _respond(self, answer: tuple[int, str]) -> None:
        status, text = answer
        if self.method != b"GET":  # readiness may be asked for many times a second
            log.info(
                "staff: {method} {uri}: {status} {text}",
                method=self.method[:20].decode("latin-1"),
                uri=self.uri[:200].decode("latin-1"),
                status=status,
                text=text,
            )
        if self._disconnected:
            return
        body = f"{text}\n".encode()
        self.setResponseCode(status)
        kind = b"application/json" if text.startswith("{") else b"text/plain; charset=utf-8"
        self.setHeader(b"content-type", kind)
        self.setHeader(b"content-length", b"%d" % len(body))
        self.setHeader(b"connection", b"close")
        self.write(body)
        self.finish()


class Caller(http.HTTPChannel):
    """A caller's connection, let go after one call or when its time is up."""

    requestFactory = Call
    timeOut = None  # the node's one timer has it
    factory: Any
    transport: Any

    def connectionMade(self) -> None:
        super().connectionMade()
        operator: Operator = self.factory
        self._patience = operator.deadlines.after(PATIENCE, self.evict)
        operator.comes(self)

    def evict(self) -> None:
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        self.factory.deadlines.cancel(self._patience)
        self.factory.callers.pop(self, None)
        super().connectionLost(reason)


class Operator(Factory):
    """The calls, and the callers at once, oldest first."""

    noisy = False
    protocol = Caller

    def __init__(self, node: Staffed, deadlines: TimerQueue) -> None:
        self.node, self.deadlines = node, deadlines
        self.callers: dict[Caller, None] = {}
        self._calls: dict[bytes, tuple[bytes, Callable[[dict[bytes, list[bytes]]], Answer]]] = {
            b"/_ready": (b"GET", self._ready),
            b"/_hosts/detach": (b"PUT", lambda args: self._host(args, self.node.detach)),
            b"/_hosts/attach": (b"PUT", lambda args: self._host(args, self.node.attach)),
            b"/_lameduck/on": (b"PUT", self._lame),
            b"/_lameduck/off": (b"PUT", self._unlame),
            b"/_fleet": (b"GET", lambda args: self._shown(self.node.fleet_view())),
            b"/_quotas": (b"GET", lambda args: self._shown(self.node.quotas_view())),
            b"/_residency": (b"GET", lambda args: self._shown(self.node.residency_view())),
        }

    def log(self, request: Call) -> None:
        """The library's access log: ours is written with the answer."""

    def comes(self, caller: Caller) -> None:
        """Callers that stall must not keep a whole call out: the oldest goes."""
        self.callers[caller] = None
        if len(self.callers) > CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.evict()

    def answer(self, method: bytes, path: bytes, args: dict[bytes, list[bytes]]) -> Answer:
        call = self._calls.get(path)
        if call is None:
            return http.NOT_FOUND, "no such call"
        if method != call[0]:
            return http.NOT_ALLOWED, f"{call[0].decode()} it"
        return call[1](args)

    def _recorded(self, host: str, ends: timedelta) -> Answer:
        """Yes once the word has its record; a folder that fails for a moment is waited for."""
        why = self.node.unrecorded_because(host)
        if not why:
            return http.OK, "yes"
        if self.deadlines.clock.now() >= ends:
            return http.INSUFFICIENT_STORAGE_SPACE, f"no: it holds here, but can't be recorded yet: {why}"
        later: Deferred[tuple[int, str]] = Deferred()
        self.deadlines.after(RECORD_AGAIN, later.callback, None)
        later.addCallback(lambda _: self._recorded(host, ends))
        return later

    def _ready(self, _: dict[bytes, list[bytes]]) -> tuple[int, str]:
        why = self.node.why_not_ready()
        return (http.SERVICE_UNAVAILABLE, f"no: {why}") if why else (http.OK, "yes")

    def _host(self, args: dict[bytes, list[bytes]], act: Callable[[str], bool]) -> Answer:
        named = args.get(b"member", [])
        if len(named) != 1 or not named[0]:
            return http.BAD_REQUEST, "no: one member=ID"
        try:
            host = named[0].decode()
        except UnicodeDecodeError:
            return http.BAD_REQUEST, "no: member is not UTF-8"
        if not act(host):
            return http.NOT_FOUND, "no: the list has not named this host"
        return self._recorded(host, self.deadlines.clock.now() + RECORDED)

    @staticmethod
    def _shown(view: str) -> tuple[int, str]:
        return (http.OK, view) if view else (http.NOT_FOUND, "no: this instance is no member of a fleet")

    def _lame(self, _: dict[bytes, list[bytes]]) -> tuple[int, str]:
        self.node.drain()
        return http.OK, "yes"

    def _unlame(self, _: dict[bytes, list[bytes]]) -> tuple[int, str]:
        return (http.OK, "yes") if self.node.undrain() else (http.CONFLICT, "no: it stops")
