"""Drives a `Quota`: passes it events and performs its actions."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from puffindeck_errors import describe
from puffindeck_fleet.status import QuotaStatus
from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_quota import Charge, LimitsChanged, MembersChanged, Quota, Revoke
from puffindeck_quota import Tick as QuotaTick

log = Logger("puffindeck")


class QuotaDriver:
    """Runs the quotas of one member.

    `send` sends a message to the quotas of another member. `release` is called with a charge that was
    revoked, and `flush` makes the connections of released charges migrate.
    """

    def __init__(
        self,
        quota: Quota,
        send: Callable[[SendMessage], None],
        release: Callable[[Charge], None],
        flush: Callable[[], None],
    ) -> None:
        self._quota = quota
        self._send = send
        self._release = release
        self._flush = flush

    def handle(self, now_ms: float, *events: MessageReceived | MembersChanged | QuotaTick | LimitsChanged) -> None:
        """Pass events to the quotas and perform their actions. Messages are sent after all other actions."""
        must_flush = False
        messages = []
        for action in self._quota.handle(now_ms, events):
            match action:
                case SendMessage():
                    messages.append(action)
                case Revoke():
                    self._release(action.charge)
                    must_flush = True
                case Report():
                    log.error("quota: {error}", error=describe(action.error))
        for message in messages:
            self._send(message)
        if must_flush:
            self._flush()

    def status(self, now_ms: float) -> QuotaStatus:
        """Return the document of `GET /_quotas`."""
        return QuotaStatus(self._quota.status(now_ms))
