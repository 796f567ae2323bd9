"""Which servers may be sent something new, by the list and by staff, each with a drain's grace (rule 3)."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from puffindeck.core.clock import ZERO, Clock, milliseconds
from puffindeck.interface import EndpointEntry, EndpointStatus, ListUpdateKind, Settings

DRAIN_MARGIN = milliseconds(100)  # how long before the end of a drain's grace nothing more is begun


class Reachability:
    """Servers that drain, are gone or were taken out, and since when that is known."""

    def __init__(self, clock: Clock, settings: Settings) -> None:
        self._clock = clock
        self.grace = ZERO
        self.unavailable_since: dict[int, timedelta] = {}  # by the list
        self.detached_since: dict[int, timedelta] = {}  # by staff
        self._listed: set[int] = set()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Another grace from now on."""
        self.grace = max(ZERO, milliseconds(settings.drain_grace_ms) - DRAIN_MARGIN)

    def update_endpoints(self, kind: ListUpdateKind, entries: Iterable[EndpointEntry]) -> None:
        """News of the list; of one that could not be had there are no entries."""
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
        """Does the list have it, be it that it drains?"""
        return endpoint in self._listed

    def detach(self, endpoint: int) -> None:
        """Staff have taken it out."""
        self.detached_since.setdefault(endpoint, self._clock.now())

    def attach(self, endpoint: int) -> None:
        """Staff have put it back."""
        self.detached_since.pop(endpoint, None)

    def may_reach(self, endpoint: int) -> bool:
        """Is there grace left for something new, at this moment?"""
        now = self._clock.now()
        return all(
            now - since[endpoint] < self.grace
            for since in (self.unavailable_since, self.detached_since)
            if endpoint in since
        )
