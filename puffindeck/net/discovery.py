"""Service discovery over HTTP: fetches the whole list if none is known yet, then watches its changes."""

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
    """Keeps one watch open. When it fails, the decision module is notified and schedules the next poll.

    Without a known version the whole list is requested first.

    If lists are pushed to an agent on this machine (`pushed`), the decision module schedules no polls, and a
    list counts as known as soon as the agent has it. The agent is therefore watched from the start, and its
    whole list is read again after each failure. A silent agent is called repeatedly, in parallel with the
    calls still open. When the agent recovers, its new list is thus read at once.

    `on_answer` is called after each answer and after each failure.
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
        self._calls: list[Deferred[Any]] = []  # oldest first; several only for a silent agent
        self._response: WatchResponse | None = None
        self._timeout: Deadline | None = None
        self._list_timeout: Deadline | None = None  # time by which a partial list must be complete
        self._retry: Deadline | None = None
        self._stopped = False

    def start(self) -> None:
        """Poll at once if lists are pushed to an agent; otherwise the decision module schedules the polls."""
        if self._pushed:
            self.poll()

    @property
    def version(self) -> int | None:
        """The version of the known list; None if there is no list."""
        return self._state.version

    def poll(self) -> None:
        """Watch from the known version on. Does nothing while a call or a response is in progress."""
        if self._calls or self._response is not None or self._stopped:
            return
        self._deadlines.cancel(self._retry)
        if self._pushed:
            self._timeout = self._deadlines.after(AGENT_ANSWER_TIMEOUT, self._call_in_parallel)
        else:
            self._timeout = self._deadlines.after(ANSWER_TIMEOUT, self.on_failure, "no answer")
        self._call()

    def _call_in_parallel(self) -> None:
        """Make another call: the agent is silent, or this process too busy to read. Any answer counts."""
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
        if call not in self._calls:  # cancelled while its response arrived
            body = WatchResponse(None)
            response.deliverBody(body)
            body.drop()
            return
        self._calls.remove(call)
        self._cancel_calls()
        self._response = body = WatchResponse(self) if watching else ListResponse(self)
        if response.code != 200:  # without a handler the body's end is not reported as a second failure
            body.handler = None
            response.deliverBody(body)
            self.on_failure(f"status {response.code}")
            return
        if watching:
            self.on_heartbeat()
        elif self._pushed:  # without push, the time-out set by poll() covers the whole list
            self._expect_bytes(ANSWER_TIMEOUT)
        response.deliverBody(body)

    def _on_call_failed(self, failure: Failure, call: Deferred[Any]) -> None:
        if call in self._calls:
            self._calls.remove(call)
            if not self._calls:
                self.on_failure(failure.getErrorMessage())

    def _expect_bytes(self, timeout: timedelta) -> None:
        """Fail unless bytes are received within the time-out."""
        self._deadlines.cancel(self._timeout)
        self._timeout = self._deadlines.after(timeout, self.on_failure, "silent")

    def on_heartbeat(self) -> None:
        """Restart the silence time-out at each received byte, even of a partial line."""
        self._expect_bytes(SILENCE_TIMEOUT)

    def on_line(self, line: bytes) -> None:
        """Read a line of a watch. An empty line means that nothing has changed."""
        if self._apply(self._state.read_line, line) and not self._state.list_begun:
            self._cancel_list_timeout()
            self._directory.record_contact(self._deadlines.clock.now())
            self._on_answer()

    def on_truncated(self, is_truncated: bool) -> None:
        """Limit the time for a partial list to be completed."""
        if not is_truncated and not self._state.list_begun:
            self._cancel_list_timeout()
        elif self._list_timeout is None:
            why = "a list that does not end"
            self._list_timeout = self._deadlines.after(LIST_TIMEOUT, self.on_failure, why)

    def on_complete(self, text: bytes) -> None:
        """Read a whole list, then watch its changes."""
        if self._apply(self._state.read_list, text):
            self._on_answer()
            self._drop()
            self.poll()

    def _apply(self, parse: Callable[[bytes], EndpointList | None], text: bytes) -> bool:
        try:
            members = parse(text)
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
        """Cancel the calls or the watch, and report the failure; an agent is polled again after a delay."""
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
        self._cancel_calls()
        body, self._response = self._response, None
        if body is not None:
            body.drop()

    def _cancel_calls(self) -> None:
        calls, self._calls = self._calls, []
        for call in calls:
            call.cancel()

    def stop(self) -> None:
        """Close all calls, and poll no more."""
        self._stopped = True
        self._deadlines.cancel(self._retry)
        self._drop()
