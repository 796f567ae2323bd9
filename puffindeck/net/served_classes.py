"""The request classes that a node serves, by name, and their changes at a reload."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ClassSettings

# A dropped class is served for this time, because clients learn of the drop later.
DROP_DELAY = milliseconds(5000)


class ServedClasses:
    """Maps the name of each served class to its number. A dropped class is served for DROP_DELAY more."""

    def __init__(self, classes: Iterable[ClassSettings], deadlines: TimerQueue) -> None:
        self.numbers = {rules.name: number for number, rules in enumerate(classes)}
        self._configured = set(self.numbers)  # without the dropped classes that are still served
        self._deadlines = deadlines

    def apply(self, named: Iterable[ClassSettings], numbered: Sequence[ClassSettings]) -> set[str]:
        """Serve the classes `named`, which `numbered` lists by number. Returns the dropped classes' names."""
        numbers = {rules.name: number for number, rules in enumerate(numbered)}
        self._configured = {rules.name for rules in named}
        dropped = self.numbers.keys() - self._configured
        self.numbers.update((name, numbers[name]) for name in self._configured)
        self._deadlines.after(DROP_DELAY, self._remove_dropped)
        return dropped

    def _remove_dropped(self) -> None:
        self.numbers = {name: number for name, number in self.numbers.items() if name in self._configured}
