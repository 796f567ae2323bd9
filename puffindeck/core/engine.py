"""The life of requests: events to the decision module, its actions carried out.

The engine knows no wire. A front brings clients and opens links; the engine holds the module and the front to
what every wire needs: one final answer for each request, one attempt out at a time, no more attempts than
allowed, time-outs cut to the client's deadline, and one reported end for each attempt.
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

DEADLINE_GRACE = milliseconds(15)  # after its deadline, a request that the module has not answered is failed


class Engine:
    """One gateway: its decision module and the requests it has taken.

    `watch_endpoints` is called when the module asks for the list of endpoints.
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
        """Hand events to the module, and carry out its actions."""
        self._dispatcher.dispatch(*events)

    # From the front: the list of endpoints

    def update_endpoints(
        self, kind: ListUpdateKind, version: int = 0, entries: Iterable[EndpointEntry] = ()
    ) -> None:
        """Take a piece of the endpoint list, or its failure."""
        entries = list(entries)
        self.reachability.update_endpoints(kind, entries)
        self.dispatch(EndpointListUpdated(kind, version, entries))

    def is_listed(self, endpoint: int) -> bool:
        """Does the list have it, draining or not?"""
        return self.reachability.is_listed(endpoint)

    def may_reach(self, endpoint: int) -> bool:
        """May something new begin there? Asked again right before an attempt's first byte."""
        return self.reachability.may_reach(endpoint)

    # From the front: operators' calls and settings

    def detach(self, endpoint: int) -> None:
        """Send nothing new to this endpoint until it is attached, whatever the list says."""
        self.reachability.detach(endpoint)
        self.dispatch(EndpointDetached(endpoint))

    def attach(self, endpoint: int) -> None:
        """Use a detached endpoint again."""
        self.reachability.attach(endpoint)
        self.dispatch(EndpointAttached(endpoint))

    def apply_settings(self, new: Settings, kept: Iterable[int] = ()) -> None:
        """Use other settings from now on; what is open keeps the rules that it began with.

        `kept`: numbers of classes that a front still uses.
        """
        used = {*kept, *(state.class_number for state in self.requests)}
        classes = renumber_classes(self.settings.classes, new.classes, used)
        self.settings = replace(new, classes=classes)
        self.reachability.apply_settings(new)
        self.dispatch(SettingsChanged(self.settings))

    # From the front: requests

    def request(self, client: Client, asked: Request) -> int:
        """Take a request; returns its number. The client is answered once, before its time is up."""
        deadline = self.clock.now() + asked.time_left
        state = RequestState(client, asked.class_number, deadline, self.settings.max_attempts, asked.id)
        number = self.requests.take(state)
        state.deadline_guard = self.deadlines.at(deadline + DEADLINE_GRACE, self._fail_overdue, number)
        self.dispatch(
            RequestArrived(
                number,
                asked.class_number,
                0,
                asked.key,
                to_ms(asked.time_left),
                asked.load_hint,
                asked.group,
                returning=asked.returning,
                connection_info=asked.connection_info,
            )
        )
        return number

    def restore_connection(self, client: Client, asked: Request, endpoint: int) -> AttemptId:
        """Take a connection that was open before the start. Its link is the front's to set up."""
        state = RequestState(client, asked.class_number, self.clock.now(), 1, asked.id)
        number = self.requests.take(state)
        state.attempts = 1
        state.attempt_active = True
        state.established = True
        state.answered = True
        state.endpoint = endpoint
        self.dispatch(
            ConnectionRestored(
                number, endpoint, asked.class_number, 0, asked.load_hint, asked.group, asked.key
            )
        )
        return AttemptId(number, 0)

    def set_restored_link(self, attempt_id: AttemptId, link: UpstreamLink) -> None:
        """Note the link of a connection that was open before the start."""
        state = self.attempts.current(attempt_id)
        if state is not None:
            state.link = link

    def client_disconnected(self, number: int) -> None:
        """Abandon what is out for a client that has gone."""
        state = self.requests.get(number)
        if state is None:
            return
        if not state.established:
            state.answered = True
            self.observer.closed(state.id, Reason.CLIENT_DISCONNECTED)
            self.dispatch(ClientDisconnected(number))
        if state.attempt_active:
            self.attempts.cut(state, Outcome.CANCELLED)
        self.requests.settle(state)

    def abort_request(self, number: int) -> None:
        """Answer a request now, as this gateway ends: the module says with which answer."""
        state = self.requests.get(number)
        if state is None or state.established:
            return
        self.dispatch(RequestAborted(number))
        self._fail_overdue(number, Reason.STOPPING)  # whatever the module has done, it is answered
        if self.requests.get(number) is state and state.attempt_active:
            self.attempts.cut(state, Outcome.CANCELLED)

    # From the front: attempts and connections

    def attempt_established(self, attempt_id: AttemptId) -> bool:
        """Answer the client by a connection that stands. False if nobody waits for it any more."""
        return self.attempts.established(attempt_id)

    def attempt_ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Report the end of an attempt, or of the connection that it became. Only the first report counts."""
        self.attempts.ended(attempt_id, outcome)

    def record_report(self, attempt_id: AttemptId, figure: float) -> None:
        """Take a server's figure on an open connection: load, or a message's latency in milliseconds.

        The settings say which of them it is.
        """
        state = self.attempts.current(attempt_id)
        if state is None:
            return
        if self.settings.reports_load:
            self.dispatch(LoadReported(attempt_id.request, state.endpoint, figure))
        elif self.settings.reports_latency:
            self.dispatch(LatencyReported(attempt_id.request, state.endpoint, figure))

    # The module's actions

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
        """Return a request that is owed its answer, and note that it gets one."""
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
            self.requests.settle(state)

    def _fail(self, action: Fail) -> None:
        state = self._take_unanswered(action.request)
        if state is not None:
            self.observer.answered(state.id, Answer.FAILED, Reason.DECISION)
            state.client.fail()
            self.requests.settle(state)

    def _fail_overdue(self, number: int, why: Reason = Reason.OVERDUE) -> None:
        """Fail a request that the module has not answered: one answer in time does not hang on it alone."""
        state = self._take_unanswered(number)
        if state is not None:
            log.warn("request {id} was not answered in time: failed", id=state.id)
            self.observer.answered(state.id, Answer.FAILED, why)
            state.client.fail()
            if state.attempt_active:
                self.attempts.cut(state, Outcome.TIMEOUT)
            else:
                self.dispatch(ClientDisconnected(number))
            self.requests.settle(state)

    def _cancel(self, action: Cancel) -> None:
        state = self.attempts.unanswered(AttemptId(action.request, action.attempt))
        if state is not None:
            self.attempts.cut(state, Outcome.CANCELLED)

    def _migrate(self, action: Migrate) -> None:
        self._migrate_away(action.request, Reason.MOVED)

    def _migrate_away(self, number: int, why: Reason) -> None:
        state = self.requests.get(number)
        if state is not None and state.established and state.attempt_active and state.client.migrate():
            self.observer.closed(state.id, why)
            self.attempts.ended(AttemptId(state.number, state.attempts - 1), Outcome.CANCELLED)

    def _schedule_timer(self, action: ScheduleTimer) -> None:
        self.deadlines.after(milliseconds(action.delay_ms), self.dispatch, TimerFired(action.token))

    def _log(self, action: Log) -> None:
        log.info("module: {text}", text=action.text)

    # The end

    def established_requests(self) -> list[int]:
        """Return the numbers of the requests whose connections stand."""
        return [state.number for state in self.requests if state.established and state.attempt_active]

    def migrate_before_stop(self, number: int) -> None:
        """Send a client away because this gateway stops."""
        self._migrate_away(number, Reason.STOPPING)
