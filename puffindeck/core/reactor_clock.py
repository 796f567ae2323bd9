"""Makes a reactor measure its timers on the monotonic clock.

Twisted's reactors schedule timers by the wall clock (`ReactorBase.seconds` is `time.time` in Twisted 26.10).
When that clock is set back, no timer runs until the clock has caught up; when it is set forward, timers run
too early. The monotonic clock is never set (clock_gettime(2)), so durations are measured on it.
"""

from __future__ import annotations

import time
from typing import Any


class PendingTimersError(RuntimeError):
    """The reactor already has timers, whose times were set by the wall clock."""

    remedy = "Call use_monotonic_clock at the start of the program, before anything sets a timer."


def use_monotonic_clock(reactor: Any) -> None:
    """Make a reactor measure its timers on the monotonic clock, in seconds, from now on.

    Call this once, at the start of a program. Afterwards `reactor.seconds()` does not return Unix time.
    Raises PendingTimersError if the reactor already has pending timers.
    """
    if reactor.seconds is time.monotonic:
        return
    if reactor.getDelayedCalls():
        raise PendingTimersError(f"{len(reactor.getDelayedCalls())} timers are pending already")
    reactor.seconds = time.monotonic
