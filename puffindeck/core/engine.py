"""The life of requests and their attempts: events to the decision module, its actions carried out.

The engine knows no wire. A front brings clients and opens links; the engine holds the module and the front to
what every wire needs: one final answer for each request, one attempt out at a time, no more attempts than
allowed, time-outs cut to the client's deadline, and one end told for each attempt.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, Protocol

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.generational_arena import GenerationalArena
from puffindeck.core.reachability import Reachability
from puffindeck.core.request_observer import Answer, Reason, RequestObserver, Unobserved
from puffindeck.core.requests import AttemptId, Client, Request, RequestState, UpstreamLink
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import (
    Action,
    AttemptEnded,
    AttemptEstablished,
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

DEADLINE_GRACE = milliseconds(
    15
)  # how long after its deadline a request that the module has not answered is failed


class Decisions(Protocol):
    """The decision module, or one for each pool."""

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]: ...

    def ceilings(self) -> dict[int, float]: ...


class Engine:
    """One gateway: its decision module and the requests it has taken."""

    def __init__(
        self,
        balancer: Decisions,
        settings: Settings,
        deadlines: TimerQueue,
        follow: Callable[[], None],
        observer: RequestObserver | None = None,
    ) -> None:
        self.balancer: Any = balancer
        self.observer: RequestObserver = observer or Unobserved()
        self.settings, self.deadlines, self.follow = settings, deadlines, follow
        self.clock = deadlines.clock
        self.requests: GenerationalArena[RequestState] = GenerationalArena()
        self._events: deque[Event] = deque()
        self._busy = False
        self.reachability = Reachability(self.clock, settings)
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            Send: self._send,
            Reject: self._reject,
            Fail: self._fail,
            Cancel: self._cancel,
            Migrate: self._migrate,
            ScheduleTimer: self._schedule_timer,
            WatchEndpoints: lambda action: self.follow(),
            Log: self._log,
        }

    # Events in, actions out

    def dispatch(self, *events: Event) -> None:
        """Hand events to the module and do what it says. What that brings about at once comes after."""
        self._events.extend(events)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                batch = list(self._events)
                self._events.clear()
                for action in self._decide(batch):
                    self._handlers[type(action)](action)
        finally:
            self._busy = False

    def _decide(self, batch: Iterable[Event]) -> list[Action]:
        try:
            actions: list[Action] = self.balancer.handle(to_ms(self.clock.now()), batch)
            return actions
        except Exception:  # each request's guard still answers it in time
            log.failure("decision failed")
            return []

    # From the front: the list

    def update_endpoints(
        self, kind: ListUpdateKind, version: int = 0, entries: Iterable[EndpointEntry] = ()
    ) -> None:
        """News of the server list, or that it can't be had."""
        entries = list(entries)
        self.reachability.update_endpoints(kind, entries)
        self.dispatch(EndpointListUpdated(kind, version, entries))

    def is_listed(self, endpoint: int) -> bool:
        """Does the list have it, be it that it drains?"""
        return self.reachability.is_listed(endpoint)

    def may_reach(self, endpoint: int) -> bool:
        """Rule 3 again, right before an attempt's first byte: its connect may have taken its time."""
        return self.reachability.may_reach(endpoint)

    # From the front: what staff say

    def detach(self, endpoint: int) -> None:
        """Nothing new to this server until it is attached, whatever the list says."""
        self.reachability.detach(endpoint)
        self.dispatch(EndpointDetached(endpoint))

    def attach(self, endpoint: int) -> None:
        self.reachability.attach(endpoint)
        self.dispatch(EndpointAttached(endpoint))

    def apply_settings(self, new: Settings, kept: Iterable[int] = ()) -> None:
        """Other settings from now on; what is open keeps the rules that it began with.

        A class keeps its number while it is named, while something open has it, or a front (`kept`).
        """
        used, places = {*kept, *(state.cls for state in self.requests)}, list(self.settings.classes)
        numbers = {c.name: i for i, c in enumerate(places)}
        named = {c.name for c in new.classes}
        free = [i for i, c in enumerate(places) if c.name not in named and i not in used]
        for c in new.classes:
            if c.name in numbers:
                places[numbers[c.name]] = c
            elif free:
                places[free.pop(0)] = c
            else:
                places.append(c)
        self.settings = replace(new, classes=tuple(places))
        self.reachability.apply_settings(new)
        self.dispatch(SettingsChanged(self.settings))

    # From the front: requests

    def request(self, client: Client, asked: Request) -> int:
        """Take a request; its number. The client is answered once, before its time is up."""
        deadline = self.clock.now() + asked.left
        state = RequestState(client, asked.cls, deadline, self.settings.max_attempts, asked.id)
        state.number = number = self._hold(state)
        state.deadline_guard = self.deadlines.at(deadline + DEADLINE_GRACE, self._overdue, number)
        self.dispatch(
            RequestArrived(
                number,
                asked.cls,
                0,
                asked.key,
                to_ms(asked.left),
                asked.hint,
                asked.group,
                returning=asked.returning,
                facts=asked.facts,
            )
        )
        return number

    def _hold(self, state: RequestState) -> int:
        """Put it into a slot; its number."""
        number = self.requests.add(state)
        state.id = state.id or str(number)
        return number

    def restore_connection(self, client: Client, asked: Request, endpoint: int) -> AttemptId:
        """Take a connection that was open before the start. Its link is the front's to set up."""
        state = RequestState(client, asked.cls, self.clock.now(), 1, asked.id)
        state.number = number = self._hold(state)
        state.attempts, state.attempt_active, state.established, state.answered, state.endpoint = (
            1,
            True,
            True,
            True,
            endpoint,
        )
        self.dispatch(ConnectionRestored(number, endpoint, asked.cls, 0, asked.hint, asked.group, asked.key))
        return AttemptId(number, 0)

    def set_restored_link(self, attempt_id: AttemptId, link: UpstreamLink) -> None:
        """The link of a connection that was open before the start is up."""
        state = self._current(attempt_id)
        if state is not None:
            state.link = link

    def client_disconnected(self, number: int) -> None:
        """The client has gone; what is out for it is given up."""
        state = self.requests.get(number)
        if state is None:
            return
        if not state.established:
            state.answered = True
            self.observer.closed(state.id, Reason.CLIENT_LEFT)
            self.dispatch(ClientDisconnected(number))
        if state.attempt_active:
            self._cut(state, Outcome.CANCELLED)
        self._settle(state)

    def abort_request(self, number: int) -> None:
        """This gateway ends, and can wait for nothing more: the module says with which answer."""
        state = self.requests.get(number)
        if state is None or state.established:
            return
        self.dispatch(RequestAborted(number))
        self._overdue(number, Reason.STOPPING)  # whatever the module has done, it is answered
        if self.requests.get(number) is state and state.attempt_active:
            self._cut(state, Outcome.CANCELLED)

    # From the front: attempts and connections

    def _current(self, attempt_id: AttemptId) -> RequestState | None:
        state = self.requests.get(attempt_id.request)
        return (
            state
            if state is not None and state.attempt_active and attempt_id.attempt == state.attempts - 1
            else None
        )

    def attempt_established(self, attempt_id: AttemptId) -> bool:
        """The connection stands. False if nobody waits for it any more."""
        state = self._current(attempt_id)
        if state is None or state.answered or state.link is None:
            return False
        state.established = state.answered = True
        self.deadlines.cancel(state.attempt_expiry)
        self.deadlines.cancel(state.deadline_guard)
        state.client.on_established(state.link)
        self.observer.answered(state.id, Answer.UP, Reason.SERVED)
        took = to_ms(self.clock.now() - state.attempt_started)
        self.dispatch(AttemptEstablished(attempt_id.request, state.endpoint, took, attempt_id.attempt))
        return True

    def attempt_ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """An attempt, or the connection that it became, has ended. Told once; later word is ignored."""
        state = self._current(attempt_id)
        if state is None:
            return
        state.attempt_active, state.link = False, None
        self.deadlines.cancel(state.attempt_expiry)
        if outcome == Outcome.OK:
            state.answered = True
        if outcome == Outcome.NO_RESOURCE:
            state.max_attempts += 1  # it reached nobody, and is none of the attempts that are allowed
        took = self.clock.now() - state.attempt_started
        if not state.established:
            self.observer.attempt_ended(state.id, state.endpoint, attempt_id.attempt, outcome, took)
        self._settle(state)
        self.dispatch(
            AttemptEnded(
                attempt_id.request, outcome, state.endpoint, attempt_id.attempt, state.answered, to_ms(took)
            )
        )

    def record_report(self, attempt_id: AttemptId, figure: float) -> None:
        """What a server tells of an open connection: the settings say whether load or a message's delay."""
        state = self._current(attempt_id)
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
        attempt_id = AttemptId(action.request, state.attempts)
        if state.answered or state.attempt_active or state.attempts >= state.max_attempts:
            state.attempts += not state.attempt_active
            self.dispatch(
                AttemptEnded(
                    action.request, Outcome.MOOT, action.endpoint, attempt_id.attempt, state.answered, 0.0
                )
            )
            return
        if not state.client.is_waiting():
            self.client_disconnected(action.request)
            return
        now = self.clock.now()
        until = (
            min(state.deadline, now + milliseconds(action.timeout_ms))
            if action.timeout_ms
            else state.deadline
        )
        begin = min(until, now + milliseconds(action.start_within_ms)) if action.start_within_ms else until
        state.attempts += 1
        state.attempt_active, state.endpoint, state.attempt_started = True, action.endpoint, now
        if until <= now:
            self.attempt_ended(attempt_id, Outcome.TIMEOUT)
            return
        self.observer.attempt_began(state.id, action.endpoint, attempt_id.attempt)
        state.attempt_expiry = self.deadlines.at(until, self._expired, attempt_id)
        link = state.client.start_attempt(attempt_id, action.endpoint, until, begin)
        if self._current(attempt_id) is state:
            state.link = link

    def _expired(self, attempt_id: AttemptId) -> None:
        state = self._current_unanswered(attempt_id)
        if state is not None:
            self._cut(state, Outcome.TIMEOUT)

    def _current_unanswered(self, attempt_id: AttemptId) -> RequestState | None:
        """The holder of an attempt that is out, if its server has indeed said nothing by this moment."""
        state = self._current(attempt_id)
        if state is not None and state.link is not None and not state.established:
            state.link.read_available()
            state = self._current(attempt_id)
        return state if state is not None and not state.established else None

    def _cut(self, state: RequestState, outcome: Outcome) -> None:
        link = state.link
        self.attempt_ended(AttemptId(state.number, state.attempts - 1), outcome)
        if link is not None:
            link.abandon()

    def _settle(self, state: RequestState) -> None:
        """Free the slot of a request that is owed nothing and waits for nothing."""
        if state.answered and not state.attempt_active:
            self.deadlines.cancel(state.deadline_guard)
            self.requests.drop(state.number)

    def _unanswered(self, number: int) -> RequestState | None:
        state = self.requests.get(number)
        if state is None or state.answered:
            return None
        state.answered = True
        self.deadlines.cancel(state.deadline_guard)
        return state

    def _reject(self, action: Reject) -> None:
        state = self._unanswered(action.request)
        if state is not None:
            self.observer.answered(state.id, Answer.REFUSED, Reason.DECISION)
            state.client.reject(milliseconds(action.retry_after_ms))
            self._settle(state)

    def _fail(self, action: Fail) -> None:
        state = self._unanswered(action.request)
        if state is not None:
            self.observer.answered(state.id, Answer.FAILED, Reason.DECISION)
            state.client.fail()
            self._settle(state)

    def _overdue(self, number: int, why: Reason = Reason.OVERDUE) -> None:
        """Rule 1 does not hang on the module alone."""
        state = self._unanswered(number)
        if state is not None:
            log.warn("request {id} was not answered in time: failed", id=state.id)
            self.observer.answered(state.id, Answer.FAILED, why)
            state.client.fail()
            if state.attempt_active:
                self._cut(state, Outcome.TIMEOUT)
            else:
                self.dispatch(ClientDisconnected(number))
            self._settle(state)

    def _cancel(self, action: Cancel) -> None:
        state = self._current_unanswered(AttemptId(action.request, action.attempt))
        if state is not None:
            self._cut(state, Outcome.CANCELLED)

    def _migrate(self, action: Migrate) -> None:
        self._migrate_away(action.request, Reason.MOVED)

    def _migrate_away(self, number: int, why: Reason) -> None:
        state = self.requests.get(number)
        if state is not None and state.established and state.attempt_active and state.client.migrate():
            self.observer.closed(state.id, why)
            self.attempt_ended(AttemptId(state.number, state.attempts - 1), Outcome.CANCELLED)

    def _schedule_timer(self, action: ScheduleTimer) -> None:
        self.deadlines.after(milliseconds(action.delay_ms), self.dispatch, TimerFired(action.token))

    def _log(self, action: Log) -> None:
        log.info("module: {text}", text=action.text)

    # The end

    def established_requests(self) -> list[int]:
        """The requests whose connections stand."""
        return [state.number for state in self.requests if state.established and state.attempt_active]

    def migrate_before_stop(self, number: int) -> None:
        """Move a client because this gateway stops."""
        self._migrate_away(number, Reason.STOPPING)
