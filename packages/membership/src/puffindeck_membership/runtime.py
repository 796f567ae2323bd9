"""What all parts of a member share: its moment and timers, its random numbers, its settings, and its actions."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from puffindeck_membership.events import Action
from puffindeck_membership.scheduler import Scheduler
from puffindeck_membership.timing import Timing


class ActionLog:
    """The actions of the events that are being handled, in their order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def take(self) -> list[Action]:
        """All actions since the last call."""
        actions = self._actions
        self._actions = []
        return actions


@dataclass(frozen=True, slots=True)
class Runtime:
    """The collaborators that every part of a member is given."""

    scheduler: Scheduler
    random: Random
    timing: Timing
    actions: ActionLog

    @property
    def now_ms(self) -> float:
        """The moment of the events that are being handled, in milliseconds."""
        return self.scheduler.now_ms
