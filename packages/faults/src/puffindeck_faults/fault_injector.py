"""Fault injection below one process: its wall clock, its system calls, its files.

A small C library (`fault_injector.c`) is loaded into the process with LD_PRELOAD. It maps a control file, through which
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

SOURCE = Path(__file__).with_name("fault_injector.c")
MILLIONTHS = 1_000_000
NANOSECONDS_PER_SECOND = 1_000_000_000
ALWAYS = -1  # no limit to the number of failures


class SystemCall(IntEnum):
    """A system call that may fail, in the order of `enum call` in fault_injector.c."""

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


class ControlField(IntEnum):
    """A number in the control file, in the order of `struct control` in fault_injector.c."""

    WALL_OFFSET_NS = 0
    SEED = 1
    DRAWS = 2
    SHORT_BYTES = 3
    SHORT_CHANCE = 4
    PAUSE_NS = 5
    PAUSE_CHANCE = 6
    PAUSED_AT_NS = 7
    KILL_AT_STEP = 8


FAILURES = len(ControlField)  # index of the first call's failure
FAILURE_SIZE = 4  # numbers: errno, failures left, probability in millionths, failures so far
CONTROL_FILE_BYTES = (FAILURES + FAILURE_SIZE * len(SystemCall)) * 8


class NoCompilerError(RuntimeError):
    """This machine has no C compiler, so the library can't be built: install `cc`."""


def build_library() -> Path:
    """The path of the library, built once for each text of its source. Raises NoCompilerError."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise NoCompilerError("no C compiler (cc) on the path: faults can't be injected; install one")
    name = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    built = Path(tempfile.gettempdir()) / f"puffindeck-faults-{os.getuid()}-{name}.so"
    if not built.exists():
        draft = built.with_suffix(f".{os.getpid()}")
        command = [compiler, "-O2", "-Wall", "-shared", "-fPIC", "-o", str(draft), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        draft.replace(built)
    return built


class FaultInjector:
    """Injects faults into one process, from its start to its end, through a control file."""

    def __init__(self, folder: Path, seed: int = 0, files: Path | None = None) -> None:
        """`folder` holds the control file; `files` is the folder whose files may fail (None: no file fails)."""
        self.path = folder / "faults"
        self._files = files
        self.path.write_bytes(bytes(CONTROL_FILE_BYTES))
        with self.path.open("r+b") as file:
            self._numbers = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES)
        self._write_number(ControlField.SEED, seed)

    def environment(self) -> dict[str, str]:
        """Environment variables that the process has to be started with. Raises NoCompilerError."""
        names = {"LD_PRELOAD": str(build_library()), "PUFFINDECK_FAULTS": str(self.path)}
        if self._files is not None:
            names["PUFFINDECK_FAULTS_FOLDER"] = str(self._files)
        return names

    def close(self) -> None:
        """Close the control file."""
        self._numbers.close()

    def _write_number(self, index: int, number: int) -> None:
        struct.pack_into("=q", self._numbers, 8 * index, number)

    def _read_number(self, index: int) -> int:
        return int(struct.unpack_from("=q", self._numbers, 8 * index)[0])

    def set_wall_clock(self, offset_s: float) -> None:
        """Set the wall clock so many seconds ahead of the true time (negative: behind)."""
        self._write_number(ControlField.WALL_OFFSET_NS, round(offset_s * NANOSECONDS_PER_SECOND))

    def fail(self, call: SystemCall, error: int, times: int = ALWAYS, chance: float = 1.0) -> None:
        """Make a call fail with an errno, `times` times, each with a probability from 0 to 1."""
        index = FAILURES + FAILURE_SIZE * call
        self._write_number(index, 0)  # off while the other fields change
        self._write_number(index + 1, times)
        self._write_number(index + 2, round(chance * MILLIONTHS))
        self._write_number(index, error)

    def clear_failures(self, *calls: SystemCall) -> None:
        """Stop the failures of these calls; of all, if none is named."""
        for call in calls or tuple(SystemCall):
            self._write_number(FAILURES + FAILURE_SIZE * call, 0)

    def failed(self, call: SystemCall) -> int:
        """The number of calls that have failed since the start."""
        return self._read_number(FAILURES + FAILURE_SIZE * call + 3)

    def limit_io_bytes(self, most_bytes: int, chance: float = 1.0) -> None:
        """Limit reads and writes to so many bytes, with a probability from 0 to 1; 0 bytes: off."""
        self._write_number(ControlField.SHORT_CHANCE, round(chance * MILLIONTHS))
        self._write_number(ControlField.SHORT_BYTES, most_bytes)

    def set_write_pause(self, pause_s: float, chance: float = 1.0) -> None:
        """Pause the process before a send, at most once a second, with a probability from 0 to 1; 0 s: off."""
        self._write_number(ControlField.PAUSE_CHANCE, round(chance * MILLIONTHS))
        self._write_number(ControlField.PAUSE_NS, round(pause_s * NANOSECONDS_PER_SECOND))

    def kill_at_step(self, step: int) -> None:
        """Send SIGKILL at the n-th step (open, write, fsync, rename) of writing to its files, from 1 on."""
        self._write_number(ControlField.KILL_AT_STEP, step)
