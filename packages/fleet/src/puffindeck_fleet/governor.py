"""Between a node's engine and its decision module: requests are held to quotas and rules before the module sees them.

It keeps the module's own interface, so every front obeys it. It decides nothing of its own: whether a request is
admitted is `puffindeck-quota`'s, where it may go `puffindeck-residency`'s, where it goes the module's.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from puffindeck.core.engine import Decisions
from puffindeck.interface import (
    NOT_PROCESSED,
    Action,
    AttemptEnded,
    AttemptEstablished,
    ClientDisconnected,
    ConnectionRestored,
    Event,
    Fail,
    Migrate,
    Outcome,
    Reject,
    RequestAborted,
    RequestArrived,
    Settings,
    SettingsChanged,
    TimerFired,
)
from puffindeck_quota import Charge, Quota, Refusal
from puffindeck_residency import Books, RegionalBalancer
from puffindeck_residency.rules import Verdict, judged

DEFAULT = "default"  # whoever is no named tenant
FLUSH = TimerFired(-1)  # hand out what has come up between two events
UNSEEN = NOT_PROCESSED | {Outcome.ERROR}  # ends of an attempt after which no server counts it as served


AGAIN_MS = 1000.0  # when a client whose service may not be served here now may come again, about
SWEEP_MS = 250.0  # how often it is looked for connections that stand outside their regions
NEARLY = 0.8  # of the time in which they are to be moved: the last one goes by then


class Held:
    """What a request was charged, and how it stands."""

    __slots__ = ("begun", "charge", "doubtful", "view")

    def __init__(self, charge: Charge | None, view: Any) -> None:
        self.charge, self.view = charge, view
        self.begun = False
        self.doubtful = False  # may a server have served an attempt that was given up?


class Governor:
    """The decision module behind the quotas and the book of rules.

    `view` says what a front knows of a request, `tenant` whose it is by that. With `books` the module is
    a RegionalBalancer.
    """

    def __init__(
        self,
        inner: Decisions,
        settings: Settings,
        quota: Quota | None,
        tenant: Callable[[Any], str] = lambda view: DEFAULT,
        *,
        view: Callable[[RequestArrived], Any] = lambda event: event,
        books: Books | None = None,
        region: str = "",
        moved_within_ms: float = 30000.0,
    ) -> None:
        self.inner: Any = inner
        self.settings, self.quota, self.tenant, self.view = settings, quota, tenant, view
        self.books, self.region, self.moved_within_ms = books, region, moved_within_ms
        self._generation = -1
        self._swept_ms = float("-inf")
        self._outside_ms: float | None = None  # since when some stand outside
        self.outside = 0
        self.held: dict[int, Held] = {}
        self.refused = 0
        self._moves: list[int] = []
        self._of: dict[Charge, int] = {}

    def __getattr__(self, name: str) -> Any:
        """What a front or a test asks of the module itself."""
        return getattr(self.inner, name)

    def release(self, charge: Charge) -> None:
        """A connection has lost its right: it is moved when the engine next asks (`FLUSH`)."""
        request = self._of.get(charge)
        if request is not None:
            self._moves.append(request)

    def load_limits(self) -> dict[int, float]:
        found: dict[int, float] = self.inner.load_limits()
        return found

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """As the module has it."""
        passed: list[Event] = []
        refused: list[Action] = []
        if self.books is not None and self._generation != self.books.generation:
            self._rule_anew()
        for event in events:
            if event is FLUSH:
                continue
            if isinstance(event, RequestArrived):
                refusal = self._admit(now_ms, event)
                if refusal is not None:
                    refused.append(refusal)
                    continue
            elif isinstance(event, ConnectionRestored):
                pass  # stands from before the start: it was charged then
            elif isinstance(event, SettingsChanged):
                self.settings = event.settings
            else:
                self._note(now_ms, event)
            passed.append(event)
        actions: list[Action] = self.inner.handle(now_ms, passed)
        for action in actions:
            if isinstance(action, (Reject, Fail)):
                self._answered(now_ms, action.request)
        if self.books is not None and now_ms - self._swept_ms >= SWEEP_MS:
            self._sweep(now_ms)
        moves, self._moves = self._moves, []
        return refused + actions + [Migrate(request) for request in moves if request in self.held]

    # Rules

    def _ruled(self, now: float, event: RequestArrived, view: Any) -> Reject | None:
        """Note where the request may go; or refuse it, before a byte of it reaches a server."""
        assert self.books is not None
        verdict = judged(self.books.in_force(), view, self.region)
        if verdict is None:
            return None
        if not verdict.carried or not verdict.allowed or not self.books.serves(now):
            self.refused += 1
            return Reject(event.request, min(self.settings.max_retry_after_ms, AGAIN_MS))
        self._order(event.request, verdict)
        return None

    def _order(self, request: int, verdict: Verdict | None) -> None:
        module: RegionalBalancer = self.inner
        if verdict is None:
            module.orders.pop(request, None)
        else:
            module.orders[request] = verdict.allowed

    def _rule_anew(self) -> None:
        """Other rules count: they hold for what stands, too, unless it may stay until it ends."""
        assert self.books is not None
        self._generation = self.books.generation
        for request, held in self.held.items():
            verdict = judged(self.books.in_force(), held.view, self.region)
            if verdict is None or not (held.begun and verdict.keeps):
                self._order(request, verdict)

    def _sweep(self, now: float) -> None:
        """Move what stands outside, at an even rate, all within the time that the book sets."""
        self._swept_ms = now
        outside = self.inner.connections_outside_regions()
        self.outside = len(outside)
        if not outside:
            self._outside_ms = None
            return
        if self._outside_ms is None:
            self._outside_ms = now
        left = max(1.0, (self._outside_ms + NEARLY * self.moved_within_ms - now) / SWEEP_MS)
        self._moves += outside[: max(1, round(len(outside) / left + 0.5))]

    def standing_outside(self) -> dict[str, int]:
        """By service: connections that stand where its rule does not allow it."""
        found: dict[str, int] = {}
        for request in self.inner.connections_outside_regions() if self.books is not None else ():
            verdict = judged(self.books.in_force(), self.held[request].view, self.region) if self.books else None
            for name in verdict.names if verdict is not None and request in self.held else ():
                found[name] = found.get(name, 0) + 1
        return found

    # Admission

    def _admit(self, now: float, event: RequestArrived) -> Reject | None:
        if event.request in self.held:
            return None
        view = self.view(event)
        if self.books is not None and (refusal := self._ruled(now, event, view)) is not None:
            return refusal
        charge = self.quota.admit(self.tenant(view), now, now + event.remaining_ms) if self.quota is not None else None
        if isinstance(charge, Refusal):
            self.refused += 1
            if self.books is not None:
                self._order(event.request, None)
            return Reject(event.request, min(self.settings.max_retry_after_ms, charge.wait_ms))
        self.held[event.request] = Held(charge, view)
        if charge is not None:
            self._of[charge] = event.request
        return None

    def _note(self, now: float, event: Event) -> None:
        """How a request goes on."""
        if isinstance(event, AttemptEstablished):
            held = self.held.get(event.request)
            if held is not None and not held.begun:
                held.begun = True
                if held.charge is not None and self.quota is not None:
                    self.quota.began(held.charge, now)
        elif isinstance(event, AttemptEnded):
            held = self.held.get(event.request)
            if held is None:
                return
            if not held.begun and event.outcome not in UNSEEN:
                held.doubtful = True
            if held.begun or event.final:
                self._close(now, event.request, held)
        elif isinstance(event, ClientDisconnected):
            held = self.held.get(event.request)
            if held is not None and not held.begun:
                held.doubtful = True  # an attempt that is out may come up yet
                self._close(now, event.request, held)
        elif isinstance(event, RequestAborted):
            held = self.held.get(event.request)
            if held is not None:
                held.doubtful = True  # as above; its answer closes it

    def _answered(self, now: float, request: int) -> None:
        held = self.held.get(request)
        if held is not None and not held.begun:
            self._close(now, request, held)

    def _close(self, now: float, request: int, held: Held) -> None:
        del self.held[request]
        if held.charge is None or self.quota is None:
            return
        self._of.pop(held.charge, None)
        if held.begun or held.doubtful:
            self.quota.ended(held.charge, now)
        else:
            self.quota.give_back(held.charge)
