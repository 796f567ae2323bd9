"""Start times of endpoints on this process's clock, from the Unix times that discovery reports.

This machine's wall clock may have been wrong when the process began, and the servers' clocks may be stepped
while it runs. A start time in the future would prolong an endpoint's slow start by the difference of the
clocks, and one too far in the past would end the slow start of an endpoint that has just started. An
implausible start time is therefore replaced by the current time, which is the conservative choice.
"""

from __future__ import annotations

from collections.abc import Iterable

# Both are defined by the discovery protocol.
MAX_NOTIFICATION_DELAY_MS = 6000.0  # maximum delay between a change and a list that contains it
HEARTBEAT_INTERVAL_MS = 2000.0  # interval of empty lines on a watch without changes


class StartTimes:
    """The reported start times, and those on this process's clock, both as Unix times in milliseconds."""

    def __init__(self) -> None:
        self._reported: dict[int, float] = {}
        self._started: dict[int, float] = {}

    def start_time(
        self, endpoint: int, reported_ms: float, now_ms: float, last_contact_ms: float | None
    ) -> float:
        """Return an endpoint's start time as a Unix time in milliseconds; 0 for a start long ago.

        `last_contact_ms` is the time of discovery's last answer before this list, None for the first list. If
        it is known, a start time that is new in this list is plausible only if its age is at most the maximum
        notification delay, plus the time by which the last answer is older than a heartbeat interval.
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
        """Remove endpoints that are gone or started long ago."""
        for endpoint in endpoints:
            self._reported.pop(endpoint, None)
            self._started.pop(endpoint, None)
