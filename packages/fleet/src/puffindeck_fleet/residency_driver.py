"""Drives the `Books` of residency: hands them events and carries out their actions."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.logger import Logger

from puffindeck_errors import described
from puffindeck_fleet.status import ResidencyStatus, ServiceStatus
from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_residency import Books
from puffindeck_residency import Seen as BookSeen

log = Logger("puffindeck")


class ResidencyDriver:
    """The rules of residency of one member. `send` sends a message to those of another member."""

    def __init__(self, books: Books, send: Callable[[SendMessage], None]) -> None:
        self.books = books
        self._send = send

    def handle(self, now_ms: float, event: MessageReceived | BookSeen) -> None:
        """Hand an event to the rules."""
        for action in self.books.handle(now_ms, [event]):
            match action:
                case SendMessage():
                    self._send(action)
                case Report():
                    log.error("residency: {error}", error=described(action.error))

    def status(self, now_ms: float, violations: Mapping[str, int]) -> ResidencyStatus:
        """`GET /_residency`. `violations` counts connections in regions that are not allowed, by service."""
        services = [
            ServiceStatus(name, allowed, violations.get(name, 0))
            for name, allowed in sorted(self._allowed_regions().items())
        ]
        return ResidencyStatus(
            version=self.books.newest.version,
            stale=not self.books.fresh(now_ms),
            serves=self.books.serves(now_ms),
            services=services,
        )

    def _allowed_regions(self) -> dict[str, list[str]]:
        """The regions that all books in force allow, by service."""
        allowed: dict[str, list[str]] = {}
        for book in self.books.in_force():
            for service in book.services:
                before = allowed.get(service.name, list(service.allowed))
                allowed[service.name] = [region for region in before if region in service.allowed]
        return allowed
