"""Which endpoints may be sent something new, by the list and by operators, each with a drain's grace."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from puffindeck.core.clock import ZERO, Clock, milliseconds
from puffindeck.interface import EndpointEntry, EndpointStatus, ListUpdateKind, Settings

DRAIN_MARGIN = milliseconds(100)  # before the end of a drain's grace, in which nothing more is begun


class Reachability:
    """Endpoints that drain, are gone or are detached, and since when that is known."""

    def __init__(self, clock: Clock, settings: Settings) -> None:
        self._clock = clock
        self.grace = ZERO
        self.unavailable_since: dict[int, timedelta] = {}  # by the list
        self.detached_since: dict[int, timedelta] = {}  # by operators
        self._listed: set[int] = set()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use the grace of these settings from now on."""
        self.grace = max(ZERO, milliseconds(settings.drain_grace_ms) - DRAIN_MARGIN)

    def update_endpoints(self, kind: ListUpdateKind, entries: Iterable[EndpointEntry]) -> None:
        """Take a piece of the endpoint list; a failure has no entries."""
        now, state_of = self._clock.now(), {entry.endpoint: entry.state for entry in entries}
        fit = {endpoint for endpoint, state in state_of.items() if state == EndpointStatus.READY}
        draining = {endpoint for endpoint, state in state_of.items() if state == EndpointStatus.DRAINING}
        gone = {endpoint for endpoint, state in state_of.items() if state == EndpointStatus.GONE}
        if kind in (ListUpdateKind.FULL, ListUpdateKind.CACHED):  # who is not named is gone
            gone |= self._listed - fit - draining
        self._listed = (self._listed | fit | draining) - gone
        for endpoint in draining | gone:
            self.unavailable_since.setdefault(endpoint, now)
        for endpoint in fit:
            self.unavailable_since.pop(endpoint, None)

    def is_listed(self, endpoint: int) -> bool:
        """Does the list have it, draining or not?"""
        return endpoint in self._listed

    def detach(self, endpoint: int) -> None:
        """Note that operators have detached it."""
        self.detached_since.setdefault(endpoint, self._clock.now())

    def attach(self, endpoint: int) -> None:
        """Note that operators have attached it."""
        self.detached_since.pop(endpoint, None)

    def may_reach(self, endpoint: int) -> bool:
        """May something new begin there at this moment?"""
        now = self._clock.now()
        return all(
            now - since[endpoint] < self.grace
            for since in (self.unavailable_since, self.detached_since)
            if endpoint in since
        )
