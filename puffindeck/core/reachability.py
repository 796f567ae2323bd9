"""Decides to which endpoints attempts may be sent.

An endpoint that drains, is gone or was detached still accepts attempts until the drain grace is over.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

from puffindeck.core.clock import ZERO, Clock, milliseconds
from puffindeck.interface import EndpointEntry, EndpointStatus, ListUpdateKind, Settings

DRAIN_MARGIN = milliseconds(100)  # attempts stop this long before the drain grace ends


class Reachability:
    """Records since when endpoints have been draining, gone or detached."""

    def __init__(self, clock: Clock, settings: Settings) -> None:
        self._clock = clock
        self.grace = ZERO
        self.unavailable_since: dict[int, timedelta] = {}  # endpoints that are draining or gone
        self.detached_since: dict[int, timedelta] = {}  # endpoints that an operator detached
        self._listed: set[int] = set()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use the drain grace of these settings from now on."""
        self.grace = max(ZERO, milliseconds(settings.drain_grace_ms) - DRAIN_MARGIN)

    def update_endpoints(self, kind: ListUpdateKind, entries: Iterable[EndpointEntry]) -> None:
        """Apply a full endpoint list or changes to it. A failed update has no entries."""
        now, state_of = self._clock.now(), {entry.endpoint: entry.state for entry in entries}
        ready = {endpoint for endpoint, state in state_of.items() if state == EndpointStatus.READY}
        draining = {endpoint for endpoint, state in state_of.items() if state == EndpointStatus.DRAINING}
        gone = {endpoint for endpoint, state in state_of.items() if state == EndpointStatus.GONE}
        if kind in (ListUpdateKind.FULL, ListUpdateKind.CACHED):  # endpoints that a full list omits are gone
            gone |= self._listed - ready - draining
        self._listed = (self._listed | ready | draining) - gone
        for endpoint in draining | gone:
            self.unavailable_since.setdefault(endpoint, now)
        for endpoint in ready:
            self.unavailable_since.pop(endpoint, None)

    def is_listed(self, endpoint: int) -> bool:
        """Return whether the endpoint list contains the endpoint, draining or not."""
        return endpoint in self._listed

    def has_endpoints(self) -> bool:
        """Return whether the endpoint list has any endpoint."""
        return bool(self._listed)

    def detach(self, endpoint: int) -> None:
        """Record that an operator detached the endpoint."""
        self.detached_since.setdefault(endpoint, self._clock.now())

    def attach(self, endpoint: int) -> None:
        """Record that an operator attached the endpoint again."""
        self.detached_since.pop(endpoint, None)

    def may_reach(self, endpoint: int) -> bool:
        """Return whether an attempt may be sent to the endpoint now."""
        now = self._clock.now()
        return all(
            now - since[endpoint] < self.grace
            for since in (self.unavailable_since, self.detached_since)
            if endpoint in since
        )
