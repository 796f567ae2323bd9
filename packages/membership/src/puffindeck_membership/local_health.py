"""The local health of Lifeguard (Dadgar and others, 2017).

A member that is slow itself may not receive answers in time, so its timeouts are extended by a multiplier.
"""

from puffindeck_membership.timing import Timing

MAX_HEALTH_COUNTER = 8  # upper bound of the local health counter
HEALTH_COUNTS_PER_TIMEOUT_MULTIPLE = 4  # counter value at which all timeouts are doubled
ISOLATION_PROBE_INTERVALS = 1.5  # a member that receives no datagram for this many probe intervals is isolated


class LocalHealth:
    """Tracks whether the local process was paused, runs late, or receives no datagrams."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._health_counter = 0  # incremented by a late wakeup, decremented by an answered probe
        self._last_received_ms = float("-inf")  # time of the latest datagram from any member
        self.resumed_ms = float("-inf")  # time at which this process last detected that it had been paused

    def record_wakeup(self, now_ms: float, due_ms: float | None) -> bool:
        """Record a wakeup and when the next timer was due. Return whether the process was paused."""
        late_ms = 0.0 if due_ms is None else now_ms - due_ms
        if late_ms > self._timing.late_wakeup_ms:
            self._health_counter = min(MAX_HEALTH_COUNTER, self._health_counter + 1)
        if late_ms <= self._timing.pause_ms:
            return False
        self.resumed_ms = now_ms
        return True

    def record_received(self, now_ms: float) -> None:
        """Record that a datagram from another member has arrived."""
        self._last_received_ms = now_ms

    def record_success(self) -> None:
        """Record a probe that was answered."""
        self._health_counter = max(0, self._health_counter - 1)

    def timeout_multiplier(self) -> float:
        """Return the factor that extends timeouts while this process runs late."""
        return 1.0 + self._health_counter / HEALTH_COUNTS_PER_TIMEOUT_MULTIPLE

    def is_isolated(self, now_ms: float, living_members: int) -> bool:
        """Return whether the local member receives no datagrams, or has resumed too recently to decide.

        Silence of a single other member is not isolation, because it doesn't show which of the two is cut off.
        """
        timing = self._timing
        if now_ms - self.resumed_ms < timing.suspect_after_ms:
            return True
        silence_ms = now_ms - self._last_received_ms
        return (
            living_members > 1
            and silence_ms > ISOLATION_PROBE_INTERVALS * timing.probe_interval_ms * self.timeout_multiplier()
        )
