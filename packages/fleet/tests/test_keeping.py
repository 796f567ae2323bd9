"""What a member has to keep is kept later where its folder fails for a while."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any
from unittest.mock import patch

from twisted.internet.task import Clock as FakeTimers

from puffindeck.core.clock import Clock
from puffindeck.core.timer_queue import TimerQueue
from puffindeck_fleet.gateway import KEEP_AGAIN, Fleet
from puffindeck_fleet.keeping import Keeper


class SetClock(Clock):
    """A clock that a test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.moment = super().now()

    def now(self) -> Any:
        return self.moment


class Told:
    """A file's `[fleet]`."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.name, self.region, self.advertise = str(folder), "test", "", ""
        self.bind, self.peers = ("127.0.0.1", 0), dict[str, str]()


def test_an_incarnation_that_a_full_disk_refused_is_kept_once_there_is_room(tmp_path: Path) -> None:
    clock, timers = SetClock(), FakeTimers()
    fleet = Fleet(None, TimerQueue(clock, timers), "e1", Told(tmp_path), 1, 1, lambda error: None)
    with patch.object(os, "fsync", side_effect=OSError(errno.ENOSPC, "No space left on device")):
        fleet._keep()
        fleet._keep()  # one call a while, and one line
    assert Keeper(tmp_path, "e1").read() is None
    clock.moment += KEEP_AGAIN
    timers.advance(KEEP_AGAIN.total_seconds())
    kept = Keeper(tmp_path, "e1").read()
    assert kept is not None
    assert kept.incarnation == fleet.member.incarnation
