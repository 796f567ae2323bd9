"""Stores a member's incarnation, so that its next process starts with a higher one."""

from __future__ import annotations

from pathlib import Path

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck_errors import describe
from puffindeck_fleet.errors import FleetError
from puffindeck_fleet.state_file import MemberState, StateFile

log = Logger("puffindeck")

RETRY_INTERVAL = milliseconds(1000)  # delay before a failed write is retried


class IncarnationStore:
    """Stores the latest incarnation of a member on disk. If `folder` is empty, nothing is stored."""

    def __init__(self, folder: str, name: str, timers: TimerQueue) -> None:
        self._name = name
        self._timers = timers
        self._file = StateFile(Path(folder), name) if folder else None
        self._latest = 0
        self._stored = 0  # the incarnation in the file
        self._has_failed = False  # whether the latest write failed
        self._retry: Deadline | None = None

    def load(self) -> int:
        """Return the latest incarnation of the earlier processes; 0 if none is stored or it can't be read."""
        try:
            state = self._file.read() if self._file is not None else None
        except FleetError as error:
            log.error("fleet: {error}", error=describe(error))
            return 0
        return state.incarnation if state is not None else 0

    def save(self, incarnation: int) -> None:
        """Store an incarnation unless it is already stored. A failed write is retried until it succeeds."""
        self._latest = incarnation
        if self._file is None or self._retry is not None or incarnation == self._stored:
            return
        try:
            self._file.write(MemberState(self._name, incarnation))
        except FleetError as error:
            if not self._has_failed:
                log.error("fleet: {error}", error=describe(error))
            self._has_failed = True
            self._retry = self._timers.after(RETRY_INTERVAL, self._retry_write)
        else:
            if self._has_failed:
                log.info("fleet: incarnation {incarnation} is stored again", incarnation=incarnation)
            self._stored = incarnation
            self._has_failed = False

    def _retry_write(self) -> None:
        self._retry = None
        self.save(self._latest)

    def stop(self) -> None:
        """Cancel the retry of a failed write."""
        self._timers.cancel(self._retry)
