"""Log lines about steps of the machine's wall clock."""

from __future__ import annotations

from typing import Any

from twisted.logger import globalLogPublisher

from puffindeck.net import wall_clock
from puffindeck.net.logs import line
from puffindeck.net.wall_clock import WallClock


def test_a_step_of_the_wall_clock_is_logged_once_and_slewing_is_not() -> None:
    seen: list[str] = []

    def observe(event: Any) -> None:
        seen.append(line(event) or "")

    now = [1000.0]
    observer: Any = observe
    globalLogPublisher.addObserver(observer)
    try:
        clock = WallClock(lambda: now[0])
        for offset in (0.0, 0.1, -3600.0, -3600.0):
            now[0] = 1000.0 + offset
            clock.check()
    finally:
        globalLogPublisher.removeObserver(observer)
    assert wall_clock.MIN_STEP.total_seconds() > 0.1
    assert [text.rpartition("stepped by ")[2][:6] for text in seen] == ["-3600."]
