"""Manages requests: passes events to the decision module, and executes its actions.

The engine is independent of the transport protocol. A front accepts clients and opens links to servers. The
engine ensures for all fronts that each request gets one final answer, has at most one active attempt and no
more attempts than allowed, that attempts do not outlast the client's deadline, and that the end of each
attempt is reported once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from twisted.logger import Logger

from puffindeck.core.attempts import Attempts
from puffindeck.core.class_numbering import renumber_classes
from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.dispatcher import Decisions, Dispatcher
from puffindeck.core.reachability import Reachability
from puffindeck.core.request_observer import Answer, Reason, RequestObserver, Unobserved
from puffindeck.core.request_table import RequestTable
from puffindeck.core.requests import AttemptId, Client, Request, RequestState, UpstreamLink
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import (
    Cancel,
    ClientDisconnected,
    ConnectionRestored,
    EndpointAttached,
    EndpointDetached,
    EndpointEntry,
    EndpointListUpdated,
    Event,
    Fail,
    LatencyReported,
    ListUpdateKind,
    LoadReported,
    Log,
    Migrate,
    Outcome,
    Reject,
    RequestAborted,
    RequestArrived,
    ScheduleTimer,
    Send,
    Settings,
    SettingsChanged,
    TimerFired,
    WatchEndpoints,
)

log = Logger("puffindeck")

DEADLINE_GRACE = milliseconds(15)  # time after its deadline at which an unanswered request is failed


class Engine:
    """The engine of one gateway, with its decision module and its requests.

    `watch_endpoints` is called when the decision module requests the list of endpoints.
    """

    def __init__(
        self,
        balancer: Decisions,
        settings: Settings,
        deadlines: TimerQueue,
        watch_endpoints: Callable[[], None],
        observer: RequestObserver | None = None,
    ) -> None:
        self.balancer: Any = balancer
        self.observer: RequestObserver = observer or Unobserved()
        self.settings = settings
        self.deadlines = deadlines
        self.clock = deadlines.clock
        self.requests = RequestTable(deadlines)
        self.reachability = Reachability(self.clock, settings)
        self.attempts = Attempts(self.requests, deadlines, self.observer, self.dispatch)
        handlers: dict[type[Any], Callable[[Any], None]] = {
            Send: self._send,
            Reject: self._reject,
            Fail: self._fail,
            Cancel: self._cancel,
            Migrate: self._migrate,
            ScheduleTimer: self._schedule_timer,
            WatchEndpoints: lambda action: watch_endpoints(),
            Log: self._log,
        }
        self._dispatcher = Dispatcher(balancer, self.clock, handlers)

    def dispatch(self, *events: Event) -> None:
        """Pass events to the decision module, and execute its actions."""
        self._dispatcher.dispatch(*events)

    # Called by the front: the list of endpoints

    def update_endpoints(
        self, kind: ListUpdateKind, version: int = 0, entries: Iterable[EndpointEntry] = ()
    ) -> None:
        """Apply a full endpoint list or changes to it, or report that the list could not be read."""
        entries = list(entries)
        self.reachability.update_endpoints(kind, entries)
        self.dispatch(EndpointListUpdated(kind, version, entries))

    def is_listed(self, endpoint: int) -> bool:
        """Return whether the endpoint list contains the endpoint, draining or not."""
        return self.reachability.is_listed(endpoint)

    def has_endpoints(self) -> bool:
        """Return whether the endpoint list has any endpoint: it is empty until the first list."""
        return self.reachability.has_endpoints()

    def may_reach(self, endpoint: int) -> bool:
        """Return whether an attempt may be sent to the endpoint now.

        A front checks this again immediately before it sends an attempt's first byte.
        """
        return self.reachability.may_reach(endpoint)

    # Called by the front: operators' commands and settings

    def detach(self, endpoint: int) -> None:
        """Send no new attempts to this endpoint until it is attached, even if the list has it as ready."""
        self.reachability.detach(endpoint)
        self.dispatch(EndpointDetached(endpoint))

    def attach(self, endpoint: int) -> None:
        """Use a detached endpoint again."""
        self.reachability.attach(endpoint)
        self.dispatch(EndpointAttached(endpoint))

    def apply_settings(self, new: Settings, used_by_fronts: Iterable[int] = ()) -> None:
        """Apply new settings. Open requests and connections keep the rules of their start.

        `used_by_fronts` are the numbers of the classes that fronts still use.
        """
        used = {*used_by_fronts, *(state.class_number for state in self.requests)}
        classes = renumber_classes(self.settings.classes, new.classes, used)
        self.settings = replace(new, classes=classes)
        self.reachability.apply_settings(new)
        self.dispatch(SettingsChanged(self.settings))

    # Called by the front: requests

    def request(self, client: Client, request: Request) -> int:
        """Accept a request and return its number.

        The client gets one answer, at most `DEADLINE_GRACE` after its deadline.
        """
        deadline = self.clock.now() + request.time_left
        state = RequestState(client, request.class_number, deadline, self.settings.max_attempts, request.id)
        number = self.requests.add_request(state)
        state.deadline_guard = self.deadlines.at(deadline + DEADLINE_GRACE, self._fail_overdue, number)
        self.dispatch(
            RequestArrived(
                number,
                request.class_number,
                0,
                request.key,
                to_ms(request.time_left),
                request.load_hint,
                request.group,
                returning=request.returning,
                connection_info=request.connection_info,
            )
        )
        return number

    def restore_connection(self, client: Client, request: Request, endpoint: int) -> AttemptId:
        """Register a connection that was open before the start.

        The front opens its link, and passes the link to `set_restored_link`.
        """
        state = RequestState(client, request.class_number, self.clock.now(), 1, request.id)
        number = self.requests.add_request(state)
        state.attempts = 1
        state.attempt_active = True
        state.established = True
        state.answered = True
        state.endpoint = endpoint
        self.dispatch(
            ConnectionRestored(
                number, endpoint, request.class_number, 0, request.load_hint, request.group, request.key
            )
        )
        return AttemptId(number, 0)

    def set_restored_link(self, attempt_id: AttemptId, link: UpstreamLink) -> None:
        """Record the link of a connection that was open before the start."""
        state = self.attempts.find_active(attempt_id)
        if state is not None:
            state.link = link

    def client_disconnected(self, number: int) -> None:
        """End the request and the active attempt of a client that has disconnected."""
        state = self.requests.get(number)
        if state is None:
            return
        if not state.established:
            state.answered = True
            self.observer.closed(state.id, Reason.CLIENT_DISCONNECTED)
            self.dispatch(ClientDisconnected(number))
        if state.attempt_active:
            self.attempts.terminate(state, Outcome.CANCELLED)
        self.requests.release_if_complete(state)

    def abort_request(self, number: int) -> None:
        """Answer a request because this gateway stops. The decision module chooses the answer."""
        state = self.requests.get(number)
        if state is None or state.established:
            return
        self.dispatch(RequestAborted(number))
        self._fail_overdue(number, Reason.STOPPING)  # in case the decision module did not answer it
        if self.requests.get(number) is state and state.attempt_active:
            self.attempts.terminate(state, Outcome.CANCELLED)

    # Called by the front: attempts and connections

    def attempt_established(self, attempt_id: AttemptId) -> bool:
        """Notify the client that its connection is established.

        Returns False if the attempt is no longer active or its request is already answered.
        """
        return self.attempts.report_established(attempt_id)

    def attempt_ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Report the end of an attempt or of its connection. Reports after the first are ignored."""
        self.attempts.report_ended(attempt_id, outcome)

    def record_report(self, attempt_id: AttemptId, value: float) -> None:
        """Process a value that a server reported on an open connection.

        The settings define whether the value is the connection's load in work per second, or the latency of a
        message in milliseconds.
        """
        state = self.attempts.find_active(attempt_id)
        if state is None:
            return
        if self.settings.reports_load:
            self.dispatch(LoadReported(attempt_id.request, state.endpoint, value))
        elif self.settings.reports_latency:
            self.dispatch(LatencyReported(attempt_id.request, state.endpoint, value))

    # Actions of the decision module

    def _send(self, action: Send) -> None:
        state = self.requests.get(action.request)
        if state is None:
            return
        if state.answered or state.attempt_active or state.attempts >= state.max_attempts:
            self.attempts.reject_start(state, action)
        elif not state.client.is_waiting():
            self.client_disconnected(action.request)
        else:
            self.attempts.start(state, action)

    def _take_unanswered(self, number: int) -> RequestState | None:
        """Mark an unanswered request as answered and return it; None if it is answered or unknown."""
        state = self.requests.get(number)
        if state is None or state.answered:
            return None
        state.answered = True
        self.deadlines.cancel(state.deadline_guard)
        return state

    def _reject(self, action: Reject) -> None:
        state = self._take_unanswered(action.request)
        if state is not None:
            self.observer.answered(state.id, Answer.REJECTED, Reason.DECISION)
            state.client.reject(milliseconds(action.retry_after_ms))
            self.requests.release_if_complete(state)

    def _fail(self, action: Fail) -> None:
        state = self._take_unanswered(action.request)
        if state is not None:
            self.observer.answered(state.id, Answer.FAILED, Reason.DECISION)
            state.client.fail()
            self.requests.release_if_complete(state)

    def _fail_overdue(self, number: int, reason: Reason = Reason.OVERDUE) -> None:
        """Fail a request that the decision module left unanswered, since each request must be answered."""
        state = self._take_unanswered(number)
        if state is not None:
            log.warn("request {id} was not answered in time: failed", id=state.id)
            self.observer.answered(state.id, Answer.FAILED, reason)
            state.client.fail()
            if state.attempt_active:
                self.attempts.terminate(state, Outcome.TIMEOUT)
            else:
                self.dispatch(ClientDisconnected(number))
            self.requests.release_if_complete(state)

    def _cancel(self, action: Cancel) -> None:
        state = self.attempts.find_unanswered(AttemptId(action.request, action.attempt))
        if state is not None:
            self.attempts.terminate(state, Outcome.CANCELLED)

    def _migrate(self, action: Migrate) -> None:
        self._migrate_away(action.request, Reason.MOVED)

    def _migrate_away(self, number: int, reason: Reason) -> None:
        state = self.requests.get(number)
        if state is not None and state.established and state.attempt_active and state.client.migrate():
            self.observer.closed(state.id, reason)
            self.attempts.report_ended(AttemptId(state.number, state.attempts - 1), Outcome.CANCELLED)

    def _schedule_timer(self, action: ScheduleTimer) -> None:
        self.deadlines.after(milliseconds(action.delay_ms), self.dispatch, TimerFired(action.token))

    def _log(self, action: Log) -> None:
        log.info("module: {text}", text=action.text)

    # Called by the front: shutdown

    def established_requests(self) -> list[int]:
        """Return the numbers of the requests whose connections are established and open."""
        return [state.number for state in self.requests if state.established and state.attempt_active]

    def migrate_before_stop(self, number: int) -> None:
        """Ask a connected client to reconnect because this gateway stops."""
        self._migrate_away(number, Reason.STOPPING)
