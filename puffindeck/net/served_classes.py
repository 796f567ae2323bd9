"""The classes of requests that a node serves, by name, and how they change at a reload."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ClassSettings

DROP_DELAY = milliseconds(5000)  # how long a dropped class is still served: its clients learn of it later


class ServedClasses:
    """Each served class's name and number. A dropped class is served for DROP_DELAY more."""

    def __init__(self, classes: Iterable[ClassSettings], deadlines: TimerQueue) -> None:
        self.numbers = {rules.name: number for number, rules in enumerate(classes)}
        self._named = set(self.numbers)  # without those that were dropped just now
        self._deadlines = deadlines

    def apply(self, named: Iterable[ClassSettings], numbered: Sequence[ClassSettings]) -> set[str]:
        """Serve the named classes, by their places in `numbered`. Return the dropped ones."""
        numbers = {rules.name: number for number, rules in enumerate(numbered)}
        self._named = {rules.name for rules in named}
        dropped = self.numbers.keys() - self._named
        self.numbers.update((name, numbers[name]) for name in self._named)
        self._deadlines.after(DROP_DELAY, self._forget_dropped)
        return dropped

    def _forget_dropped(self) -> None:
        self.numbers = {name: number for name, number in self.numbers.items() if name in self._named}
