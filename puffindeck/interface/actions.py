"""Actions that the decision module returns to its caller, which carries them out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Begin an attempt of the request at an endpoint."""

    request: int
    endpoint: int
    timeout_ms: float  # the attempt is given up after this time
    # The request's first byte may be sent within this time; 0: until the timeout.
    start_within_ms: float = 0.0


@dataclass(slots=True)
class Reject:
    """Give the final answer that the request was not processed, which makes a retry safe."""

    request: int
    retry_after_ms: float  # delay after which the client may retry; 0: none is given


@dataclass(slots=True)
class Fail:
    """Give the final answer that the request has failed and may have been processed."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel a pending attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Migrate:
    """Close an open connection gracefully, upon which its client reconnects."""

    request: int


@dataclass(slots=True)
class ScheduleTimer:
    """Deliver `TimerFired` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list: deliver its updates from now on."""


@dataclass(slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


Action = Send | Reject | Fail | Cancel | Migrate | ScheduleTimer | WatchEndpoints | Log
