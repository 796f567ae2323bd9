"""Collects the actions that one call of `Quota.handle` returns."""

from __future__ import annotations

from puffindeck_messaging import ReportThrottle, SendMessage
from puffindeck_quota.actions import Action
from puffindeck_quota.errors import QuotaError
from puffindeck_quota.messages import ENCODER, Message


class Outbox:
    """Pending actions, in the order in which they were added."""

    def __init__(self) -> None:
        self._actions: list[Action] = []
        self._reports = ReportThrottle()

    def send(self, to: str, message: Message) -> None:
        """Add the sending of a message to the member named `to`."""
        self._actions.append(SendMessage(to, ENCODER.encode(message)))

    def report(self, now_ms: float, error: QuotaError) -> None:
        """Add a report to operators, unless the same error was reported within the report interval."""
        self._actions += self._reports.reports(now_ms, error)

    def add(self, action: Action) -> None:
        """Add any other action."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """Return the actions added since the last call, and clear them."""
        taken = self._actions
        self._actions = []
        return taken
