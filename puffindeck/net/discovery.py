"""Discovery over HTTP: the whole list where there is none yet, then a watch on its changes."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from puffindeck.config import EndpointList
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.interface import ListUpdateKind
from puffindeck.net.discovery_responses import AddressEndpoints, ListResponse, WatchResponse
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.watch import (
    AGENT_ANSWER_TIMEOUT,
    AGENT_RETRY_DELAY,
    ANSWER_TIMEOUT,
    LIST_TIMEOUT,
    MAX_PARALLEL_CALLS,
    SILENCE_TIMEOUT,
    WatchError,
    WatchState,
    update_kind,
)

log = Logger("puffindeck")


class DiscoveryWatch:
    """One watch at a time. When it breaks, the decision module is told, and says when to poll again.

    With no version to watch from, the whole list is asked for first. Where lists are pushed (`pushed`),
    nobody says when to poll, and what the agent on this machine has counts as known, watched or not. So it is
    watched from the start, and after a break its whole list is read again. A silent agent is called again and
    again, in parallel with the calls that are out: what it receives when it is back counts at once.

    `on_answer` is called with each answer, and with each failure.
    """

    def __init__(
        self,
        reactor: Any,
        discovery: tuple[str, int],
        deadlines: TimerQueue,
        directory: Directory,
        engine: Engine,
        version: int | None,
        on_answer: Callable[[], None],
        pushed: bool,
    ) -> None:
        host, port = discovery
        self._base = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = Agent.usingEndpointFactory(reactor, AddressEndpoints(reactor), pool)
        self._deadlines = deadlines
        self._directory = directory
        self._engine = engine
        self._pushed = pushed
        self._state = WatchState(None if pushed else version)
        self._on_answer = on_answer
        self._calls: list[Deferred[Any]] = []  # oldest first; only a silent agent has more than one
        self._response: WatchResponse | None = None
        self._timeout: Deadline | None = None
        self._list_timeout: Deadline | None = None  # when a list that has begun must have ended
        self._retry: Deadline | None = None
        self._stopped = False

    def start(self) -> None:
        """Poll an agent that has lists pushed to it; otherwise the decision module says when."""
        if self._pushed:
            self.poll()

    @property
    def version(self) -> int | None:
        """The version of the list that is known; None for none."""
        return self._state.version

    def poll(self) -> None:
        """Watch from the known version on. Nothing is done while a call is out or a response comes in."""
        if self._calls or self._response is not None or self._stopped:
            return
        self._deadlines.cancel(self._retry)
        if self._pushed:
            self._timeout = self._deadlines.after(AGENT_ANSWER_TIMEOUT, self._call_in_parallel)
        else:
            self._timeout = self._deadlines.after(ANSWER_TIMEOUT, self.on_failure, "no answer")
        self._call()

    def _call_in_parallel(self) -> None:
        """Call once more: the agent is silent, or this process too busy to read. Any answer counts."""
        if len(self._calls) == 1:
            self._report_failure("no answer")
        while len(self._calls) >= MAX_PARALLEL_CALLS:
            self._calls.pop(0).cancel()
        self._state = WatchState()
        self._timeout = self._deadlines.after(AGENT_ANSWER_TIMEOUT, self._call_in_parallel)
        self._call()

    def _call(self) -> None:
        watching, url = self._state.watching, self._base + self._state.target()
        call = self._agent.request(b"GET", url.encode())
        self._calls.append(call)
        call.addCallbacks(self._on_response, self._on_call_failed, (call, watching), None, (call,))

    def _on_response(self, response: Any, call: Deferred[Any], watching: bool) -> None:
        if call not in self._calls:  # given up, and answered in that very moment
            response_lines = WatchResponse(None)
            response.deliverBody(response_lines)
            response_lines.drop()
            return
        self._calls.remove(call)
        self._give_up_calls()
        self._response = response_lines = WatchResponse(self) if watching else ListResponse(self)
        if response.code != 200:  # one failure, not a second one when its body ends
            response_lines.handler = None
            response.deliverBody(response_lines)
            self.on_failure(f"status {response.code}")
            return
        if watching:
            self.on_heartbeat()
        elif self._pushed:  # where lists are asked for, its end is due as its answer is
            self._expect_bytes(ANSWER_TIMEOUT)
        response.deliverBody(response_lines)

    def _on_call_failed(self, failure: Failure, call: Deferred[Any]) -> None:
        if call in self._calls:
            self._calls.remove(call)
            if not self._calls:
                self.on_failure(failure.getErrorMessage())

    def _expect_bytes(self, timeout: timedelta) -> None:
        """Fail unless bytes come within the time-out."""
        self._deadlines.cancel(self._timeout)
        self._timeout = self._deadlines.after(timeout, self.on_failure, "silent")

    def on_heartbeat(self) -> None:
        """Note that bytes have come. Silence counts from the last of them, even of half a line."""
        self._expect_bytes(SILENCE_TIMEOUT)

    def on_line(self, line: bytes) -> None:
        """Read a line of a watch. An empty one says that nothing has changed."""
        if self._read(self._state.read_line, line) and not self._state.list_begun:
            self._cancel_list_timeout()
            self._directory.record_contact(self._deadlines.clock.now())
            self._on_answer()

    def on_truncated(self, is_truncated: bool) -> None:
        """Limit the time of a list that trickles in."""
        if not is_truncated and not self._state.list_begun:
            self._cancel_list_timeout()
        elif self._list_timeout is None:
            why = "a list that does not end"
            self._list_timeout = self._deadlines.after(LIST_TIMEOUT, self.on_failure, why)

    def on_complete(self, text: bytes) -> None:
        """Read a whole list, then watch its changes."""
        if self._read(self._state.read_list, text):
            self._on_answer()
            self._drop()
            self.poll()

    def _read(self, read: Callable[[bytes], EndpointList | None], text: bytes) -> bool:
        try:
            members = read(text)
        except WatchError as error:
            self.on_failure(str(error))
            return False
        if members is not None:
            now = self._deadlines.clock.now()
            entries = self._directory.entries(members, now)
            self._directory.record_contact(now)
            self._engine.update_endpoints(update_kind(members), members.rev, entries)
        return True

    def _cancel_list_timeout(self) -> None:
        self._deadlines.cancel(self._list_timeout)
        self._list_timeout = None

    def on_failure(self, why: str) -> None:
        """Give up the call or the watch, and report its failure."""
        self._drop()
        if not self._stopped:
            if self._pushed:
                self._state = WatchState()
                self._deadlines.cancel(self._retry)
                self._retry = self._deadlines.after(AGENT_RETRY_DELAY, self.poll)
            self._report_failure(why)

    def _report_failure(self, why: str) -> None:
        log.warn("discovery: watch broken: {why}", why=why)
        self._engine.update_endpoints(ListUpdateKind.FAILED)
        self._on_answer()

    def _drop(self) -> None:
        self._deadlines.cancel(self._timeout)
        self._cancel_list_timeout()
        self._give_up_calls()
        response_lines, self._response = self._response, None
        if response_lines is not None:
            response_lines.drop()

    def _give_up_calls(self) -> None:
        calls, self._calls = self._calls, []
        for call in calls:
            call.cancel()

    def stop(self) -> None:
        """Close all calls, and poll no more."""
        self._stopped = True
        self._deadlines.cancel(self._retry)
        self._drop()
