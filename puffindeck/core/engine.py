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

from puffindeck.core.clock import ms, span
from puffindeck.core.generational_arena import GenerationalArena
from puffindeck.core.reachability import Reachability
from puffindeck.core.request_observer import Answer, Reason, RequestObserver, Unobserved
from puffindeck.core.requests import AttemptId, Client, Held, Link, Request
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

LATE = span(15)  # how long after its deadline a request that the module has not answered is failed


class Decisions(Protocol):
    """The decision module, or one for each pool."""

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]: ...

    def load_limits(self) -> dict[int, float]: ...


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
        self.held: GenerationalArena[Held] = GenerationalArena()
        self._events: deque[Event] = deque()
        self._busy = False
        self.reachability = Reachability(self.clock, settings)
        self._do: dict[type[Any], Callable[[Any], None]] = {
            Send: self._send,
            Reject: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            Migrate: self._move,
            ScheduleTimer: self._wake,
            WatchEndpoints: lambda action: self.follow(),
            Log: self._log,
        }

    # Events in, actions out

    def tell(self, *events: Event) -> None:
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
                    self._do[type(action)](action)
        finally:
            self._busy = False

    def _decide(self, batch: Iterable[Event]) -> list[Action]:
        try:
            actions: list[Action] = self.balancer.handle(ms(self.clock.now()), batch)
            return actions
        except Exception:  # each request's guard still answers it in time
            log.failure("decision failed")
            return []

    # From the front: the list

    def listed(self, kind: ListUpdateKind, version: int = 0, entries: Iterable[EndpointEntry] = ()) -> None:
        """News of the server list, or that it can't be had."""
        entries = list(entries)
        self.reachability.listed(kind, entries)
        self.tell(EndpointListUpdated(kind, version, entries))

    def known(self, endpoint: int) -> bool:
        """Does the list have it, be it that it drains?"""
        return self.reachability.known(endpoint)

    def may_reach(self, endpoint: int) -> bool:
        """Rule 3 again, right before an attempt's first byte: its connect may have taken its time."""
        return self.reachability.may_reach(endpoint)

    # From the front: what staff say

    def detach(self, endpoint: int) -> None:
        """Nothing new to this server until it is attached, whatever the list says."""
        self.reachability.detach(endpoint)
        self.tell(EndpointDetached(endpoint))

    def attach(self, endpoint: int) -> None:
        self.reachability.attach(endpoint)
        self.tell(EndpointAttached(endpoint))

    def retune(self, new: Settings, kept: Iterable[int] = ()) -> None:
        """Other settings from now on; what is open keeps the rules that it began with.

        A class keeps its number while it is named, while something open has it, or a front (`kept`).
        """
        used, places = {*kept, *(held.cls for held in self.held)}, list(self.settings.classes)
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
        self.reachability.retune(new)
        self.tell(SettingsChanged(self.settings))

    # From the front: requests

    def request(self, client: Client, asked: Request) -> int:
        """Take a request; its number. The client is answered once, before its time is up."""
        deadline = self.clock.now() + asked.left
        held = Held(client, asked.cls, deadline, self.settings.max_attempts, asked.id)
        held.number = number = self._hold(held)
        held.guard = self.deadlines.at(deadline + LATE, self._overdue, number)
        self.tell(
            RequestArrived(
                number,
                asked.cls,
                0,
                asked.key,
                ms(asked.left),
                asked.hint,
                asked.group,
                returning=asked.returning,
                facts=asked.facts,
            )
        )
        return number

    def _hold(self, held: Held) -> int:
        """Put it into a slot; its number."""
        number = self.held.add(held)
        held.id = held.id or str(number)
        return number

    def opened(self, client: Client, asked: Request, endpoint: int) -> AttemptId:
        """Take a connection that was open before the start. Its link is the front's to set up."""
        held = Held(client, asked.cls, self.clock.now(), 1, asked.id)
        held.number = number = self._hold(held)
        held.attempts, held.out, held.begun, held.answered, held.endpoint = 1, True, True, True, endpoint
        self.tell(ConnectionRestored(number, endpoint, asked.cls, 0, asked.hint, asked.group, asked.key))
        return AttemptId(number, 0)

    def linked(self, ticket: AttemptId, link: Link) -> None:
        """The link of a connection that was open before the start is up."""
        held = self._current(ticket)
        if held is not None:
            held.link = link

    def client_left(self, number: int) -> None:
        """The client has gone; what is out for it is given up."""
        held = self.held.get(number)
        if held is None:
            return
        if not held.begun:
            held.answered = True
            self.observer.closed(held.id, Reason.CLIENT_LEFT)
            self.tell(ClientDisconnected(number))
        if held.out:
            self._cut(held, Outcome.CANCELLED)
        self._settle(held)

    def dismiss(self, number: int) -> None:
        """This gateway ends, and can wait for nothing more: the module says with which answer."""
        held = self.held.get(number)
        if held is None or held.begun:
            return
        self.tell(RequestAborted(number))
        self._overdue(number, Reason.STOPPING)  # whatever the module has done, it is answered
        if self.held.get(number) is held and held.out:
            self._cut(held, Outcome.CANCELLED)

    # From the front: attempts and connections

    def _current(self, ticket: AttemptId) -> Held | None:
        held = self.held.get(ticket.request)
        return held if held is not None and held.out and ticket.attempt == held.attempts - 1 else None

    def began(self, ticket: AttemptId) -> bool:
        """The connection stands. False if nobody waits for it any more."""
        held = self._current(ticket)
        if held is None or held.answered or held.link is None:
            return False
        held.begun = held.answered = True
        self.deadlines.cancel(held.expiry)
        self.deadlines.cancel(held.guard)
        held.client.began(held.link)
        self.observer.answered(held.id, Answer.UP, Reason.SERVED)
        took = ms(self.clock.now() - held.sent)
        self.tell(AttemptEstablished(ticket.request, held.endpoint, took, ticket.attempt))
        return True

    def ended(self, ticket: AttemptId, outcome: Outcome) -> None:
        """An attempt, or the connection that it became, has ended. Told once; later word is ignored."""
        held = self._current(ticket)
        if held is None:
            return
        held.out, held.link = False, None
        self.deadlines.cancel(held.expiry)
        if outcome == Outcome.OK:
            held.answered = True
        if outcome == Outcome.NO_RESOURCE:
            held.most += 1  # it reached nobody, and is none of the attempts that are allowed
        took = self.clock.now() - held.sent
        if not held.begun:
            self.observer.attempt_ended(held.id, held.endpoint, ticket.attempt, outcome, took)
        self._settle(held)
        self.tell(
            AttemptEnded(ticket.request, outcome, held.endpoint, ticket.attempt, held.answered, ms(took))
        )

    def noted(self, ticket: AttemptId, figure: float) -> None:
        """What a server tells of an open connection: the settings say whether load or a message's delay."""
        held = self._current(ticket)
        if held is None:
            return
        if self.settings.reports_load:
            self.tell(LoadReported(ticket.request, held.endpoint, figure))
        elif self.settings.reports_latency:
            self.tell(LatencyReported(ticket.request, held.endpoint, figure))

    # The module's actions

    def _send(self, action: Send) -> None:
        held = self.held.get(action.request)
        if held is None:
            return
        ticket = AttemptId(action.request, held.attempts)
        if held.answered or held.out or held.attempts >= held.most:
            held.attempts += not held.out
            self.tell(
                AttemptEnded(
                    action.request, Outcome.MOOT, action.endpoint, ticket.attempt, held.answered, 0.0
                )
            )
            return
        if not held.client.waits():
            self.client_left(action.request)
            return
        now = self.clock.now()
        until = min(held.deadline, now + span(action.timeout_ms)) if action.timeout_ms else held.deadline
        begin = min(until, now + span(action.start_within_ms)) if action.start_within_ms else until
        held.attempts += 1
        held.out, held.endpoint, held.sent = True, action.endpoint, now
        if until <= now:
            self.ended(ticket, Outcome.TIMEOUT)
            return
        self.observer.attempt_began(held.id, action.endpoint, ticket.attempt)
        held.expiry = self.deadlines.at(until, self._expired, ticket)
        link = held.client.open(ticket, action.endpoint, until, begin)
        if self._current(ticket) is held:
            held.link = link

    def _expired(self, ticket: AttemptId) -> None:
        held = self._without_answer(ticket)
        if held is not None:
            self._cut(held, Outcome.TIMEOUT)

    def _without_answer(self, ticket: AttemptId) -> Held | None:
        """The holder of an attempt that is out, if its server has indeed said nothing by this moment."""
        held = self._current(ticket)
        if held is not None and held.link is not None and not held.begun:
            held.link.look()
            held = self._current(ticket)
        return held if held is not None and not held.begun else None

    def _cut(self, held: Held, outcome: Outcome) -> None:
        link = held.link
        self.ended(AttemptId(held.number, held.attempts - 1), outcome)
        if link is not None:
            link.give_up()

    def _settle(self, held: Held) -> None:
        """Free the slot of a request that is owed nothing and waits for nothing."""
        if held.answered and not held.out:
            self.deadlines.cancel(held.guard)
            self.held.drop(held.number)

    def _unanswered(self, number: int) -> Held | None:
        held = self.held.get(number)
        if held is None or held.answered:
            return None
        held.answered = True
        self.deadlines.cancel(held.guard)
        return held

    def _refuse(self, action: Reject) -> None:
        held = self._unanswered(action.request)
        if held is not None:
            self.observer.answered(held.id, Answer.REFUSED, Reason.DECISION)
            held.client.refuse(span(action.retry_after_ms))
            self._settle(held)

    def _fail(self, action: Fail) -> None:
        held = self._unanswered(action.request)
        if held is not None:
            self.observer.answered(held.id, Answer.FAILED, Reason.DECISION)
            held.client.fail()
            self._settle(held)

    def _overdue(self, number: int, why: Reason = Reason.OVERDUE) -> None:
        """Rule 1 does not hang on the module alone."""
        held = self._unanswered(number)
        if held is not None:
            log.warn("request {id} was not answered in time: failed", id=held.id)
            self.observer.answered(held.id, Answer.FAILED, why)
            held.client.fail()
            if held.out:
                self._cut(held, Outcome.TIMEOUT)
            else:
                self.tell(ClientDisconnected(number))
            self._settle(held)

    def _cancel(self, action: Cancel) -> None:
        held = self._without_answer(AttemptId(action.request, action.attempt))
        if held is not None:
            self._cut(held, Outcome.CANCELLED)

    def _move(self, action: Migrate) -> None:
        self._move_away(action.request, Reason.MOVED)

    def _move_away(self, number: int, why: Reason) -> None:
        held = self.held.get(number)
        if held is not None and held.begun and held.out and held.client.move():
            self.observer.closed(held.id, why)
            self.ended(AttemptId(held.number, held.attempts - 1), Outcome.CANCELLED)

    def _wake(self, action: ScheduleTimer) -> None:
        self.deadlines.after(span(action.delay_ms), self.tell, TimerFired(action.token))

    def _log(self, action: Log) -> None:
        log.info("module: {text}", text=action.text)

    # The end

    def standing(self) -> list[int]:
        """The requests whose connections stand."""
        return [held.number for held in self.held if held.begun and held.out]

    def send_away(self, number: int) -> None:
        """Move a client because this gateway stops."""
        self._move_away(number, Reason.STOPPING)
