"""The clock of a reactor's timers.

Twisted's reactors keep the time of a timer on the wall clock (`ReactorBase.seconds` is `time.time` in Twisted
26.10). When somebody sets that clock back, no timer runs until it has caught up; when it is set ahead, all
run at once. A span of time is to be measured on the monotonic clock, which is never set (clock_gettime(2)).
"""

from __future__ import annotations

import time
from typing import Any


class PendingTimersError(RuntimeError):
    """The reactor has timers already, whose times are of the other clock."""

    remedy = "Call use_monotonic_clock at the start of the program, before anything sets a timer."


def use_monotonic_clock(reactor: Any) -> None:
    """Have a reactor measure its timers on the monotonic clock, in seconds, from now on.

    To be called once, at the start of a program. `reactor.seconds()` is no Unix time any more. Raises
    PendingTimersError where timers wait already.
    """
    if reactor.seconds is time.monotonic:
        return
    if reactor.getDelayedCalls():
        raise PendingTimersError(f"{len(reactor.getDelayedCalls())} timers wait already")
    reactor.seconds = time.monotonic
