"""Actions: what the decision module wants done."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Begin an attempt of the request at an endpoint."""

    request: int
    endpoint: int
    timeout_ms: float  # after which the attempt is given up
    start_within_ms: float = 0.0  # within which its first byte may be sent; 0: as long as the attempt has


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not processed, and a retry is safe."""

    request: int
    retry_after_ms: float  # 0: none is told


@dataclass(slots=True)
class Fail:
    """Final answer: the request may have been processed."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt and wait for it no longer."""

    request: int
    attempt: int


@dataclass(slots=True)
class Migrate:
    """Close an open connection gracefully; its client connects again."""

    request: int


@dataclass(slots=True)
class ScheduleTimer:
    """Deliver `TimerFired` with this token after the delay."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class WatchEndpoints:
    """Deliver changes of the endpoint list from now on."""


@dataclass(slots=True)
class Log:
    """Write a line for the operators."""

    text: str


Action = Send | Reject | Fail | Cancel | Migrate | ScheduleTimer | WatchEndpoints | Log
