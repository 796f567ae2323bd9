"""Discovery over HTTP: the whole list where there is none yet, then a watch on its changes."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from puffindeck.config import Members
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import ListUpdateKind
from puffindeck.net.discovery_responses import Endpoints, WatchLines, WholeList
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.watch import (
    AGAIN,
    ANSWER,
    AT_ONCE,
    BESIDE,
    LIST,
    SILENT,
    WatchError,
    WatchState,
    kind,
)

log = Logger("puffindeck")


class Watch:
    """One watch at a time. When it breaks the module is told, and says when to ask again.

    With no version to watch from, the whole list is asked for first. Where lists are pushed nobody says when
    to ask: what the agent on this machine holds counts as told whether it is watched or not. So it is watched
    from the start, and when a watch has broken all that it holds is read anew. One that is silent is asked
    again and again, beside the calls that are out: what it gets when it is back counts at once.
    """

    def __init__(
        self,
        reactor: Any,
        discovery: tuple[str, int],
        deadlines: TimerQueue,
        directory: Directory,
        engine: Engine,
        version: int | None,
        heard: Callable[[], None],
        pushed: bool,
    ) -> None:
        host, port = discovery
        self._base = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent.usingEndpointFactory(reactor, Endpoints(reactor), pool)
        self._deadlines, self._directory, self._engine = deadlines, directory, engine
        self._pushed = pushed
        self._state, self._heard = WatchState(None if pushed else version), heard
        self._calls: list[Deferred[Any]] = []  # oldest first; only a silent agent has more than one
        self._lines: WatchLines | None = None
        self._patience: Deadline | None = None
        self._ending: Deadline | None = None  # when a list that has begun must have ended
        self._again: Deadline | None = None
        self._stopped = False

    def start(self) -> None:
        """Watch an agent that has lists pushed to it; where lists are asked for, the module says when."""
        if self._pushed:
            self.ask()

    @property
    def version(self) -> int | None:
        """How far the list is known."""
        return self._state.version

    def ask(self) -> None:
        """Watch from what is known on. A call while one is out would cost discovery twice."""
        if self._calls or self._lines is not None or self._stopped:
            return
        self._deadlines.cancel(self._again)
        if self._pushed:
            self._patience = self._deadlines.after(AT_ONCE, self._ask_beside)
        else:
            self._patience = self._deadlines.after(ANSWER, self.broken, "no answer")
        self._call()

    def _ask_beside(self) -> None:
        """The agent is silent, or this process too busy to read: whichever call is answered counts."""
        if len(self._calls) == 1:
            self._failed("no answer")
        while len(self._calls) >= BESIDE:
            self._calls.pop(0).cancel()
        self._state = WatchState()
        self._patience = self._deadlines.after(AT_ONCE, self._ask_beside)
        self._call()

    def _call(self) -> None:
        watching, url = self._state.watching, self._base + self._state.target()
        call = self._agent.request(b"GET", url.encode())
        self._calls.append(call)
        call.addCallbacks(self._answered, self._refused, (call, watching), None, (call,))

    def _answered(self, response: Any, call: Deferred[Any], watching: bool) -> None:
        if call not in self._calls:  # given up, and answered in that very moment
            lines = WatchLines(None)
            response.deliverBody(lines)
            lines.drop()
            return
        self._calls.remove(call)
        self._give_up_calls()
        self._lines = lines = WatchLines(self) if watching else WholeList(self)
        if response.code != 200:  # one failure, not a second one when its body ends
            lines.reader = None
            response.deliverBody(lines)
            self.broken(f"status {response.code}")
            return
        if watching:
            self.alive()
        elif self._pushed:  # where lists are asked for, its end is due as its answer is
            self._wait(ANSWER)
        response.deliverBody(lines)

    def _refused(self, failure: Failure, call: Deferred[Any]) -> None:
        if call in self._calls:
            self._calls.remove(call)
            if not self._calls:
                self.broken(failure.getErrorMessage())

    def _wait(self, patience: timedelta) -> None:
        """Octets are due within this."""
        self._deadlines.cancel(self._patience)
        self._patience = self._deadlines.after(patience, self.broken, "silent")

    def alive(self) -> None:
        """Octets have come. Silence counts from the last of them, be they half a line."""
        self._wait(SILENT)

    def line(self, line: bytes) -> None:
        """An empty line says only that the watch is alive, and that nothing is news."""
        if self._read(self._state.line, line) and not self._state.begun:
            self._cancel_ending()
            self._directory.hear(self._deadlines.clock.now())
            self._heard()

    def unfinished(self, goes_on: bool) -> None:
        """A list that trickles in is one that does not come."""
        if not goes_on and not self._state.begun:
            self._cancel_ending()
        elif self._ending is None:
            self._ending = self._deadlines.after(LIST, self.broken, "a list that does not end")

    def whole(self, text: bytes) -> None:
        """The whole list has come, and what changes in it from now on is watched."""
        if self._read(self._state.whole, text):
            self._heard()
            self._drop()
            self.ask()

    def _read(self, read: Callable[[bytes], Members | None], text: bytes) -> bool:
        try:
            members = read(text)
        except WatchError as error:
            self.broken(str(error))
            return False
        if members is not None:
            now = self._deadlines.clock.now()
            entries = self._directory.entries(members, now)
            self._directory.hear(now)
            self._engine.update_endpoints(kind(members), members.rev, entries)
        return True

    def _cancel_ending(self) -> None:
        self._deadlines.cancel(self._ending)
        self._ending = None

    def broken(self, why: str) -> None:
        """The call or the watch has failed."""
        self._drop()
        if not self._stopped:
            if self._pushed:
                self._state = WatchState()
                self._deadlines.cancel(self._again)
                self._again = self._deadlines.after(AGAIN, self.ask)
            self._failed(why)

    def _failed(self, why: str) -> None:
        log.warn("discovery: watch broken: {why}", why=why)
        self._engine.update_endpoints(ListUpdateKind.FAILED)
        self._heard()

    def _drop(self) -> None:
        self._deadlines.cancel(self._patience)
        self._cancel_ending()
        self._give_up_calls()
        lines, self._lines = self._lines, None
        if lines is not None:
            lines.drop()

    def _give_up_calls(self) -> None:
        calls, self._calls = self._calls, []
        for call in calls:
            call.cancel()

    def stop(self) -> None:
        self._stopped = True
        self._deadlines.cancel(self._again)
        self._drop()
