"""Logs steps of the machine's wall clock, on which nothing else in a node may depend."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import timedelta

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds

log = Logger("puffindeck")

# Smaller differences arise from slewing of the clock, or a delay of this process between the two reads.
MIN_STEP = milliseconds(250)


class WallClock:
    """Compares the wall clock with the monotonic clock, which is never stepped."""

    def __init__(self, wall: Callable[[], float] = time.time) -> None:
        self._wall = wall
        self._offset = self._read()

    def _read(self) -> timedelta:
        return timedelta(seconds=self._wall() - time.monotonic())

    def check(self) -> None:
        """Log a warning if the wall clock has been stepped since the last check."""
        offset = self._read()
        step, self._offset = offset - self._offset, offset
        if abs(step) > MIN_STEP:
            log.warn("clock: the wall clock was stepped by {step_s} s", step_s=round(step.total_seconds(), 3))
