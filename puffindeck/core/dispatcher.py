"""Hands events to the decision module, and carries out the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from twisted.logger import Logger

from puffindeck.core.clock import Clock, to_ms
from puffindeck.interface import Action, Event

log = Logger("puffindeck")


class Decisions(Protocol):
    """The decision module, or one for each pool."""

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Take what has happened, at a moment in milliseconds since 1970; return what is to be done."""
        ...

    def load_limits(self) -> dict[int, float]:
        """Return the load limit of each endpoint that has one."""
        ...


class Dispatcher:
    """One batch of events at a time: what an action brings about at once comes after it."""

    def __init__(
        self, module: Decisions, clock: Clock, handlers: Mapping[type[Any], Callable[[Any], None]]
    ) -> None:
        self._module = module
        self._clock = clock
        self._handlers = handlers
        self._events: deque[Event] = deque()
        self._busy = False

    def dispatch(self, *events: Event) -> None:
        """Hand events to the module, and carry out its actions."""
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
            return self._module.handle(to_ms(self._clock.now()), batch)
        except Exception:  # each request's deadline guard still answers it in time
            log.failure("decision failed")
            return []
