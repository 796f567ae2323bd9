"""Steps of the machine's wall clock, for the log: nothing in a node may depend on that clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import timedelta

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds

log = Logger("puffindeck")

# A smaller difference is the clock being trimmed, or this process held up between two reads.
MIN_STEP = milliseconds(250)


class WallClock:
    """Compares the wall clock with the monotonic one, which never steps."""

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        self._ahead = self._read()

    def _read(self) -> timedelta:
        return timedelta(seconds=self._wall() - time.monotonic())

    def check(self) -> None:
        """Write a line if the wall clock has been stepped since the last check."""
        ahead = self._read()
        step, self._ahead = ahead - self._ahead, ahead
        if abs(step) > MIN_STEP:
            log.warn("clock: the wall clock was stepped by {step_s} s", step_s=round(step.total_seconds(), 3))
