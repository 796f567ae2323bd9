"""A member's incarnation is stored by a retry if writing to its folder fails at first."""

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


class SettableClock(Clock):
    """A clock whose time is set by a test."""

    def __init__(self) -> None:
        super().__init__()
        self.current_time = super().now()

    def now(self) -> timedelta:
        """Return the time that was set."""
        return self.current_time


def test_incarnation_is_stored_once_a_full_disk_has_free_space_again(tmp_path: Path) -> None:
    clock, timers = SettableClock(), FakeTimers()
    config = FleetConfig("test", ("127.0.0.1", 0), "", str(tmp_path), "", {})
    identity = MemberIdentity("e1", process_incarnation=1, seed=1)
    driver = MembershipDriver(
        None, TimerQueue(clock, timers), config, identity, lambda payload: None, lambda error: None
    )
    with patch.object(os, "fsync", side_effect=OSError(errno.ENOSPC, "No space left on device")) as fsync:
        driver.save_incarnation()
        driver.save_incarnation()  # must not retry before the interval is over
    assert fsync.call_count == 1
    assert StateFile(tmp_path, "e1").read() is None
    clock.current_time += RETRY_INTERVAL
    timers.advance(RETRY_INTERVAL.total_seconds())
    state = StateFile(tmp_path, "e1").read()
    assert state is not None
    assert state.incarnation == driver.membership.incarnation
