"""When endpoints started, on this process's clock, from the Unix times that discovery gives.

This machine's wall clock may have been wrong when the process began, and the servers' may be stepped while it
runs. A start in the future would keep an endpoint in slow start for as long as the clocks differ, and one too
far in the past would end the slow start of an endpoint that has just started. So a time that can't be true is
replaced by a careful one: this moment.
"""

from __future__ import annotations

from collections.abc import Iterable

MAX_NOTIFICATION_DELAY_MS = 6000.0  # between a change and the list that has it (protocol page)
HEARTBEAT_INTERVAL_MS = 2000.0  # of a watch on which nothing changes (protocol page)


class StartTimes:
    """The reported starts, and the starts on this process's clock, both in milliseconds."""

    def __init__(self) -> None:
        self._reported: dict[int, float] = {}
        self._started: dict[int, float] = {}

    def started(
        self, endpoint: int, reported_ms: float, now_ms: float, last_contact_ms: float | None
    ) -> float:
        """Return an endpoint's start in milliseconds; 0 for long ago.

        `last_contact_ms` is when discovery last answered before this list, None for the first list: a start
        that is new in this list can't be older than that and a list's delay.
        """
        if reported_ms <= 0.0:
            self.forget((endpoint,))
            return 0.0
        if self._reported.get(endpoint) == reported_ms:
            return self._started[endpoint]
        oldest = 0.0
        if last_contact_ms is not None:
            oldest = (
                now_ms
                - MAX_NOTIFICATION_DELAY_MS
                - max(0.0, now_ms - last_contact_ms - HEARTBEAT_INTERVAL_MS)
            )
        plausible = oldest <= reported_ms <= now_ms
        self._reported[endpoint] = reported_ms
        self._started[endpoint] = reported_ms if plausible else now_ms
        return self._started[endpoint]

    def forget(self, endpoints: Iterable[int]) -> None:
        """Drop endpoints that are gone, or whose starts are long ago."""
        for endpoint in endpoints:
            self._reported.pop(endpoint, None)
            self._started.pop(endpoint, None)
