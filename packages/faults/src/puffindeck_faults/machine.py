"""Faults of the machine under one process: its wall clock, its system calls, its files.

A small C library (`machine.c`) is loaded into the process with LD_PRELOAD. It maps a control file, through which
faults are switched on and off while the process runs. Errors and their meaning are those of the Linux manual pages
accept(2), socket(2), connect(2), send(2), recv(2), epoll_wait(2), open(2), write(2), fsync(2), rename(2), unlink(2)
and opendir(3).
"""

from __future__ import annotations

import hashlib
import mmap
import os
import shutil
import struct
import subprocess
import tempfile
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("machine.c")
MILLION = 1_000_000
NANOSECONDS = 1_000_000_000
ALWAYS = -1  # a failure with no limit to its number


class Call(IntEnum):
    """A system call that may fail, in the order of `enum call` in machine.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4
    EPOLL_WAIT = 5
    OPEN = 6  # files of the folder only, like all below
    WRITE = 7
    FSYNC = 8
    RENAME = 9
    UNLINK = 10
    LIST = 11


class Field(IntEnum):
    """A number in the control file, in the order of `struct control` in machine.c."""

    WALL_OFFSET_NS = 0
    SEED = 1
    DRAWS = 2
    SHORT_BYTES = 3
    SHORT_CHANCE = 4
    PAUSE_NS = 5
    PAUSE_CHANCE = 6
    PAUSED_AT_NS = 7
    KILL_AT_STEP = 8


FAILURES = len(Field)  # where the calls' failures begin
FAILURE_SIZE = 4  # numbers: errno, how many more, chance, how many have failed
SIZE = (FAILURES + FAILURE_SIZE * len(Call)) * 8


class NoCompilerError(RuntimeError):
    """The machine has no C compiler, so the library can't be built."""


def library() -> Path:
    """The library, built once for each text of its source. Raises NoCompilerError where there is no `cc`."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise NoCompilerError("no C compiler (cc) on the path: faults of the machine can't be played")
    name = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    built = Path(tempfile.gettempdir()) / f"puffindeck-faults-{os.getuid()}-{name}.so"
    if not built.exists():
        draft = built.with_suffix(f".{os.getpid()}")
        command = [compiler, "-O2", "-Wall", "-shared", "-fPIC", "-o", str(draft), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        draft.replace(built)
    return built


class Machine:
    """The machine under one process, from its start to its end."""

    def __init__(self, folder: Path, seed: int = 0, files: Path | None = None) -> None:
        """`files`: the folder whose files may fail; none where it is left out."""
        self.path, self._files = folder / "machine", files
        self.path.write_bytes(bytes(SIZE))
        with self.path.open("r+b") as file:
            self._numbers = mmap.mmap(file.fileno(), SIZE)
        self._put(Field.SEED, seed)

    def environment(self) -> dict[str, str]:
        """What the process is to be started with, beside its own. Raises NoCompilerError."""
        names = {"LD_PRELOAD": str(library()), "PUFFINDECK_FAULTS": str(self.path)}
        if self._files is not None:
            names["PUFFINDECK_FAULTS_FOLDER"] = str(self._files)
        return names

    def close(self) -> None:
        """Let go of the control file."""
        self._numbers.close()

    def _put(self, place: int, number: int) -> None:
        struct.pack_into("=q", self._numbers, 8 * place, number)

    def _get(self, place: int) -> int:
        return int(struct.unpack_from("=q", self._numbers, 8 * place)[0])

    def set_wall_clock(self, ahead_s: float) -> None:
        """From now on the wall clock is ahead of the true time by this many seconds (behind: negative)."""
        self._put(Field.WALL_OFFSET_NS, round(ahead_s * NANOSECONDS))

    def fail(self, call: Call, error: int, times: int = ALWAYS, chance: float = 1.0) -> None:
        """A call fails with an errno, so many times, each with a chance from 0 to 1."""
        place = FAILURES + FAILURE_SIZE * call
        self._put(place, 0)  # off while the other numbers change
        self._put(place + 1, times)
        self._put(place + 2, round(chance * MILLION))
        self._put(place, error)

    def mend(self, *calls: Call) -> None:
        """These calls fail no more; all, if none is named."""
        for call in calls or tuple(Call):
            self._put(FAILURES + FAILURE_SIZE * call, 0)

    def failed(self, call: Call) -> int:
        """How many calls have failed since the start."""
        return self._get(FAILURES + FAILURE_SIZE * call + 3)

    def shorten(self, most_bytes: int, chance: float = 1.0) -> None:
        """Reads and writes move at most this many bytes, with a chance from 0 to 1; 0 bytes: off."""
        self._put(Field.SHORT_CHANCE, round(chance * MILLION))
        self._put(Field.SHORT_BYTES, most_bytes)

    def hold_up(self, pause_s: float, chance: float = 1.0) -> None:
        """Before a send, once a second at most, the process stands still so long, with a chance from 0 to 1.

        0 seconds: off.
        """
        self._put(Field.PAUSE_CHANCE, round(chance * MILLION))
        self._put(Field.PAUSE_NS, round(pause_s * NANOSECONDS))

    def kill_at_step(self, step: int) -> None:
        """SIGKILL at the n-th step (open, write, fsync, rename) of writing to its files, from 1 on."""
        self._put(Field.KILL_AT_STEP, step)
