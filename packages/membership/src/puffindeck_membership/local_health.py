"""The health of the local member: a silence of others may be its own fault (Lifeguard: Dadgar and others, 2017)."""

from puffindeck_membership.timing import Timing

MAX_LATENESS = 8  # the lateness score's upper bound
LATENESS_PER_MULTIPLE = 4  # lateness at which all timeouts are doubled
ISOLATION_INTERVALS = 1.5  # probe intervals without any datagram after which this member is isolated


class LocalHealth:
    """Whether the local process was paused, runs late, or receives nothing."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._lateness = 0  # late wakeups, less the probes that were answered in time
        self._last_received_ms = float("-inf")  # when the latest datagram of any member arrived
        self.resumed_ms = float("-inf")  # when this process last noticed that it had been paused

    def record_wakeup(self, now_ms: float, due_ms: float | None) -> bool:
        """Record a wakeup and when the next timer was due. True if the process was paused in between."""
        late_ms = 0.0 if due_ms is None else now_ms - due_ms
        if late_ms > self._timing.late_wakeup_ms:
            self._lateness = min(MAX_LATENESS, self._lateness + 1)
        if late_ms <= self._timing.pause_ms:
            return False
        self.resumed_ms = now_ms
        return True

    def record_received(self, now_ms: float) -> None:
        """Record that a datagram of another member has arrived."""
        self._last_received_ms = now_ms

    def record_success(self) -> None:
        """Record a probe that was answered."""
        self._lateness = max(0, self._lateness - 1)

    def timeout_multiplier(self) -> float:
        """The factor by which timeouts are longer while this process runs late."""
        return 1.0 + self._lateness / LATENESS_PER_MULTIPLE

    def is_isolated(self, now_ms: float, living_members: int) -> bool:
        """Whether this member receives nothing, or has resumed too recently to know.

        With one other member nothing shows which of the two is cut off.
        """
        timing = self._timing
        if now_ms - self.resumed_ms < timing.suspect_after_ms:
            return True
        silence_ms = now_ms - self._last_received_ms
        return (
            living_members > 1
            and silence_ms > ISOLATION_INTERVALS * timing.probe_interval_ms * self.timeout_multiplier()
        )
