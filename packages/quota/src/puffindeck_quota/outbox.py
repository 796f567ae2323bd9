"""The actions that one call of `Quota.handle` gathers."""

from __future__ import annotations

from puffindeck_messaging import ReportThrottle, SendMessage
from puffindeck_quota.actions import Action
from puffindeck_quota.errors import QuotaError
from puffindeck_quota.messages import ENCODER, Message


class Outbox:
    """Actions in the order in which they came up."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._reports = ReportThrottle()

    def send(self, to: str, message: Message) -> None:
        """Send a message to another member, by its name."""
        self._actions.append(SendMessage(to, ENCODER.encode(message)))

    def report(self, now_ms: float, error: QuotaError) -> None:
        """Report an error to the operators, once in an interval."""
        self._actions += self._reports.reports(now_ms, error)

    def add(self, action: Action) -> None:
        """Add an action of another kind."""
        self._actions.append(action)

    def take(self) -> list[Action]:
        """The actions since the last call."""
        taken = self._actions
        self._actions = []
        return taken
