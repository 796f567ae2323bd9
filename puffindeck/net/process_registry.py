"""The processes of one node during an upgrade; each holds a lock on a file of its own while it runs."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import msgspec

HANDOVER_MAX_AGE_MS = 5000.0  # an older handover state may be outdated
MAX_STATE_BYTES = 64  # read limit; larger than the state that a process writes


class SiblingProcess(NamedTuple):
    """Another process of this node, as described by its file."""

    is_newer: bool
    is_ready: bool
    descriptors: int


class HandoverState(msgspec.Struct):
    """State passed from one process to the next: the load from this node that each host can bear."""

    # in milliseconds of the machine's monotonic clock, which all processes share
    written_at_ms: float = msgspec.field(name="at")
    # None if no limit is known: it stands for infinity, which JSON lacks
    load_limits: dict[str, float | None] = msgspec.field(name="ceilings")


def count_open_descriptors() -> int:
    """Count the descriptors that this process has open."""
    return len(os.listdir("/dev/fd"))


class ProcessRegistry:
    """Registers this process, and finds the other processes of its node.

    The system releases a process's lock however the process ends. A file without a lock is therefore stale.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file = -1
        self.name = ""

    def register(self) -> None:
        """Add this process after all others. Its file is locked before it gets its name. Raises OSError."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        draft = self._folder / f".{os.getpid()}"
        self._file = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.publish_state(False)
        order = 1 + max((int(path.name.partition("-")[0]) for path in self._files()), default=0)
        self.name = f"{order:08d}-{os.getpid()}"
        draft.rename(self._folder / self.name)

    def _files(self) -> list[Path]:
        return [path for path in self._folder.iterdir() if path.name.partition("-")[0].isdecimal()]

    def publish_state(self, is_ready: bool) -> None:
        """Write whether this process is ready, and its number of descriptors.

        The length is constant, so that a reader never sees a partial state.
        """
        if self._file >= 0:
            with suppress(OSError):  # the earlier state stays; the next poll writes it again
                os.pwrite(self._file, b"%d %8d\n" % (is_ready, count_open_descriptors()), 0)

    def siblings(self) -> list[SiblingProcess]:
        """Return the other running processes of this node. Raises OSError."""
        found = []
        for path in self._files():
            if path.name != self.name and (text := self._read_if_alive(path)) is not None:
                with suppress(ValueError):
                    ready, count = text.split()
                    found.append(SiblingProcess(path.name > self.name, ready == b"1", int(count)))
        return found

    @staticmethod
    def _read_if_alive(path: Path) -> bytes | None:
        """Read a running process's state; remove the file of a process that has ended."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return os.pread(file, MAX_STATE_BYTES, 0)
        else:
            path.unlink(missing_ok=True)
            return None
        finally:
            os.close(file)

    def write_handover_state(self, load_limits: dict[str, float | None], now_ms: float) -> None:
        """Store the hosts' load limits for the next process. Raises OSError."""
        if self._file >= 0:
            draft = self._folder / f".word-{os.getpid()}"
            draft.write_bytes(msgspec.json.encode(HandoverState(now_ms, load_limits)))
            draft.replace(self._folder / "word")

    def read_handover_state(self, now_ms: float) -> dict[str, float | None]:
        """Return the load limits stored by an earlier process; empty if there are none or only old ones."""
        try:
            state = msgspec.json.decode((self._folder / "word").read_bytes(), type=HandoverState)
        except (OSError, msgspec.MsgspecError):
            return {}
        return state.load_limits if 0 <= now_ms - state.written_at_ms < HANDOVER_MAX_AGE_MS else {}

    def unregister(self) -> None:
        """Remove this process's file and release its lock."""
        if self._file >= 0:
            (self._folder / self.name).unlink(missing_ok=True)
            os.close(self._file)
            self._file = -1
