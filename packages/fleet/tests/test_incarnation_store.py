"""A member's incarnation is stored later if its folder fails for a while."""

from __future__ import annotations

import errno
import os
from datetime import timedelta
from pathlib import Path
from unittest.mock import patch

from twisted.internet.task import Clock as FakeTimers

from puffindeck.config.fleet import FleetConfig
from puffindeck.core.clock import Clock
from puffindeck.core.timer_queue import TimerQueue
from puffindeck_fleet.config import MemberIdentity
from puffindeck_fleet.incarnation_store import RETRY_INTERVAL
from puffindeck_fleet.membership_driver import MembershipDriver
from puffindeck_fleet.state_file import StateFile


class SetClock(Clock):
    """A clock that a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.moment = super().now()

    def now(self) -> timedelta:
        """The moment that was set."""
        return self.moment


def test_an_incarnation_that_a_full_disk_refused_is_kept_once_there_is_room(tmp_path: Path) -> None:
    clock, timers = SetClock(), FakeTimers()
    config = FleetConfig("test", ("127.0.0.1", 0), "", str(tmp_path), "", {})
    identity = MemberIdentity("e1", process_incarnation=1, seed=1)
    driver = MembershipDriver(
        None, TimerQueue(clock, timers), config, identity, lambda payload: None, lambda error: None
    )
    with patch.object(os, "fsync", side_effect=OSError(errno.ENOSPC, "No space left on device")) as fsync:
        driver.save_incarnation()
        driver.save_incarnation()  # not tried again before the interval is over
    assert fsync.call_count == 1
    assert StateFile(tmp_path, "e1").read() is None
    clock.moment += RETRY_INTERVAL
    timers.advance(RETRY_INTERVAL.total_seconds())
    state = StateFile(tmp_path, "e1").read()
    assert state is not None
    assert state.incarnation == driver.membership.incarnation
