"""When servers started, on this process's clock, from the Unix times that discovery tells.

This machine's wall clock may have been wrong when the process began, and the servers' may be stepped while it
runs. A start in the future would make a server cold for as long as the clocks differ, and one too far in the
past would make a server that has just started count as warm. So a time that can't be true is replaced by a
careful one: this moment.
"""

from __future__ import annotations

from collections.abc import Iterable

LATE_MS = 6000.0  # a change is told this long after it was made at the latest (protocol page)
QUIET_MS = 2000.0  # a watch on which nothing changes speaks this often (protocol page)


class StartTimes:
    """The starts that were told, and what they are on this process's clock, both in milliseconds."""

    def __init__(self) -> None:
        self._told: dict[int, float] = {}
        self._started: dict[int, float] = {}

    def started(self, endpoint: int, told_ms: float, now_ms: float, heard_ms: float | None) -> float:
        """A server's start; 0 for long ago.

        `heard_ms` is when discovery was last heard of before this list, None for the first list: a start
        that is news can't be older than that and a list's delay.
        """
        if told_ms <= 0.0:
            self.forget((endpoint,))
            return 0.0
        if self._told.get(endpoint) == told_ms:
            return self._started[endpoint]
        oldest = 0.0
        if heard_ms is not None:
            oldest = now_ms - LATE_MS - max(0.0, now_ms - heard_ms - QUIET_MS)
        plausible = oldest <= told_ms <= now_ms
        self._told[endpoint] = told_ms
        self._started[endpoint] = told_ms if plausible else now_ms
        return self._started[endpoint]

    def forget(self, endpoints: Iterable[int]) -> None:
        """These servers are gone, or their starts long ago."""
        for endpoint in endpoints:
            self._told.pop(endpoint, None)
            self._started.pop(endpoint, None)
