"""The processes that are one node while it is upgraded: each knows the others by the locks that they hold."""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import msgspec

WORD_MS = 5000.0  # what was left longer ago may hold no more


class Other(NamedTuple):
    """Another process of this node, as its file has it."""

    newer: bool
    ready: bool
    descriptors: int


class Word(msgspec.Struct):
    """What one process leaves the next: the most load from this node that hosts have been seen to bear."""

    at: float  # milliseconds on the machine's monotonic clock, which both processes read
    ceilings: dict[str, float | None]  # null, as JSON has no infinity: no limit is known


def descriptors() -> int:
    """How many this process has open."""
    return len(os.listdir("/dev/fd"))


class Generation:
    """This process among them. Its lock goes with it, however it ends, so a file left behind harms nobody."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file = -1
        self.name = ""

    def begin(self) -> None:
        """Take a place after all that are there. The file has its lock before it has its name."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        draft = self._folder / f".{os.getpid()}"
        self._file = os.open(draft, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.tell(False)
        order = 1 + max((int(path.name.partition("-")[0]) for path in self._files()), default=0)
        self.name = f"{order:08d}-{os.getpid()}"
        draft.rename(self._folder / self.name)

    def _files(self) -> list[Path]:
        return [path for path in self._folder.iterdir() if path.name.partition("-")[0].isdecimal()]

    def tell(self, ready: bool) -> None:
        """Say how this process is; the same number of octets each time, so that no half of it is read."""
        if self._file >= 0:
            with suppress(OSError):  # what was said before holds; it is said again with the next look
                os.pwrite(self._file, b"%d %8d\n" % (ready, descriptors()), 0)

    def others(self) -> list[Other]:
        found = []
        for path in self._files():
            if path.name != self.name and (text := self._held(path)) is not None:
                with suppress(ValueError):
                    ready, count = text.split()
                    found.append(Other(path.name > self.name, ready == b"1", int(count)))
        return found

    @staticmethod
    def _held(path: Path) -> bytes | None:
        """What a process that lives says; the file of one that is gone is removed."""
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except FileNotFoundError:
            return None
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return os.pread(file, 64, 0)
        else:
            path.unlink(missing_ok=True)
            return None
        finally:
            os.close(file)

    def leave_word(self, ceilings: dict[str, float | None], now: float) -> None:
        """What a process that follows this one should know of the hosts, from this moment."""
        if self._file >= 0:
            draft = self._folder / f".word-{os.getpid()}"
            draft.write_bytes(msgspec.json.encode(Word(now, ceilings)))
            draft.replace(self._folder / "word")

    def word(self, now: float) -> dict[str, float | None]:
        """What the process before this one has left, if that is news."""
        try:
            word = msgspec.json.decode((self._folder / "word").read_bytes(), type=Word)
        except (OSError, msgspec.MsgspecError):
            return {}
        return word.ceilings if 0 <= now - word.at < WORD_MS else {}

    def end(self) -> None:
        if self._file >= 0:
            (self._folder / self.name).unlink(missing_ok=True)
            os.close(self._file)
            self._file = -1
