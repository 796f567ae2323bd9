"""Passes events to the decision module, and executes the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from twisted.logger import Logger

from puffindeck.core.clock import Clock, to_ms
from puffindeck.interface import Action, Event

log = Logger("puffindeck")


class Decisions(Protocol):
    """The decision module, or a router with one decision module per pool."""

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Process events at a Unix time in milliseconds, and return the actions to execute."""
        ...

    def load_limits(self) -> dict[int, float]:
        """Return load limits by endpoint, for the endpoints that have one."""
        ...


class Dispatcher:
    """Processes events in batches. Events that an action causes are handled in the next batch."""

    def __init__(
        self, module: Decisions, clock: Clock, handlers: Mapping[type[Any], Callable[[Any], None]]
    ) -> None:
        self._module = module
        self._clock = clock
        self._handlers = handlers
        self._events: deque[Event] = deque()
        self._dispatching = False

    def dispatch(self, *events: Event) -> None:
        """Pass events to the decision module, and execute its actions."""
        self._events.extend(events)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                batch = list(self._events)
                self._events.clear()
                for action in self._decide(batch):
                    self._handlers[type(action)](action)
        finally:
            self._dispatching = False

    def _decide(self, batch: Iterable[Event]) -> list[Action]:
        try:
            return self._module.handle(to_ms(self._clock.now()), batch)
        except Exception:  # the deadline guard of each request still answers it in time
            log.failure("decision failed")
            return []
