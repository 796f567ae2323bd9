"""Drives the `RulesetStore` of residency: passes it events and performs its actions."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from twisted.logger import Logger

from puffindeck_errors import describe
from puffindeck_fleet.status import ResidencyStatus, ServiceStatus
from puffindeck_messaging import MessageReceived, Report, SendMessage
from puffindeck_residency import LiveMembersUpdated, RulesetStore

log = Logger("puffindeck")


class ResidencyDriver:
    """Runs the residency rules of one member. `send` sends a message to another member's rules."""

    def __init__(self, ruleset_store: RulesetStore, send: Callable[[SendMessage], None]) -> None:
        self.ruleset_store = ruleset_store
        self._send = send

    def handle(self, now_ms: float, event: MessageReceived | LiveMembersUpdated) -> None:
        """Pass an event to the ruleset store and perform its actions."""
        for action in self.ruleset_store.handle(now_ms, [event]):
            match action:
                case SendMessage():
                    self._send(action)
                case Report():
                    log.error("residency: {error}", error=describe(action.error))

    def status(self, now_ms: float, violations: Mapping[str, int]) -> ResidencyStatus:
        """Return the document of `GET /_residency`.

        `violations` is the number of connections in regions that are not allowed, by service.
        """
        services = [
            ServiceStatus(name, allowed, violations.get(name, 0))
            for name, allowed in sorted(self._allowed_regions().items())
        ]
        return ResidencyStatus(
            version=self.ruleset_store.current.version,
            stale=not self.ruleset_store.has_quorum_contact(now_ms),
            serves=self.ruleset_store.may_serve(now_ms),
            services=services,
        )

    def _allowed_regions(self) -> dict[str, list[str]]:
        """Return the regions that all active rulesets allow, by service."""
        allowed: dict[str, list[str]] = {}
        for ruleset in self.ruleset_store.active():
            for service in ruleset.services:
                candidates = allowed.get(service.name, list(service.allowed))
                allowed[service.name] = [region for region in candidates if region in service.allowed]
        return allowed
