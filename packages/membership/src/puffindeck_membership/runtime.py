"""The objects that all parts of a member share: the scheduler, random numbers, the timing and the actions."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from puffindeck_membership.events import Action
from puffindeck_membership.scheduler import Scheduler
from puffindeck_membership.timing import Timing


class ActionBuffer:
    """Collects the actions of the events that are being handled, in order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def take(self) -> list[Action]:
        """Remove and return the collected actions."""
        actions = self._actions
        self._actions = []
        return actions


@dataclass(frozen=True, slots=True)
class Runtime:
    """The objects that every part of a member receives."""

    scheduler: Scheduler
    random: Random
    timing: Timing
    actions: ActionBuffer

    @property
    def now_ms(self) -> float:
        """The time in milliseconds at which the current events are handled."""
        return self.scheduler.now_ms
