"""Injects faults into the wall clock, the system calls and the files of one process.

A C library (`fault_injector.c`) is loaded into the process with LD_PRELOAD. It maps a control file, through which
tests switch faults on and off while the process runs. The Linux manual pages accept(2), socket(2), connect(2),
send(2), recv(2), epoll_wait(2), open(2), write(2), fsync(2), rename(2), unlink(2) and opendir(3) define the errors.
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
ALWAYS = -1  # value of `times` for an unlimited number of failures


class SystemCall(IntEnum):
    """The system calls that may fail, in the order of `enum call` in fault_injector.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4
    EPOLL_WAIT = 5
    OPEN = 6  # this call and all below fail only for files of the folder
    WRITE = 7
    FSYNC = 8
    RENAME = 9
    UNLINK = 10
    LIST = 11


class ControlField(IntEnum):
    """The single numbers of the control file, in the order of `struct control` in fault_injector.c."""

    WALL_OFFSET_NS = 0
    SEED = 1
    DRAWS = 2
    SHORT_BYTES = 3
    SHORT_CHANCE = 4
    PAUSE_NS = 5
    PAUSE_CHANCE = 6
    PAUSED_AT_NS = 7
    KILL_AT_STEP = 8


FAILURES = len(ControlField)  # index of the first number of the first call's record
FAILURE_SIZE = 4  # numbers per call: errno, remaining failures, probability in millionths, failures so far
CONTROL_FILE_BYTES = (FAILURES + FAILURE_SIZE * len(SystemCall)) * 8


class NoCompilerError(RuntimeError):
    """The library can't be built, because this machine has no C compiler (`cc`)."""


def build_library() -> Path:
    """Build the library unless it exists for this version of its source, and return its path.

    Raises NoCompilerError, and subprocess.CalledProcessError if the compiler fails.
    """
    compiler = shutil.which("cc")
    if compiler is None:
        raise NoCompilerError("no C compiler (cc) on the path: faults can't be injected; install one")
    name = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    library = Path(tempfile.gettempdir()) / f"puffindeck-faults-{os.getuid()}-{name}.so"
    if not library.exists():
        temporary = library.with_suffix(f".{os.getpid()}")
        command = [compiler, "-O2", "-Wall", "-shared", "-fPIC", "-o", str(temporary), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True)
        temporary.replace(library)
    return library


class FaultInjector:
    """Controls the faults of one process through its control file."""

    def __init__(self, folder: Path, seed: int = 0, files: Path | None = None) -> None:
        """Create the control file in `folder`, with all faults off.

        `seed` determines the random decisions. Calls on files fail only in the folder `files`, and never if it is None.
        """
        self.path = folder / "faults"
        self._files = files
        self.path.write_bytes(bytes(CONTROL_FILE_BYTES))
        with self.path.open("r+b") as file:
            self._numbers = mmap.mmap(file.fileno(), CONTROL_FILE_BYTES)
        self._write_number(ControlField.SEED, seed)

    def environment(self) -> dict[str, str]:
        """Return the environment variables that load the library into the process. Raises NoCompilerError."""
        variables = {"LD_PRELOAD": str(build_library()), "PUFFINDECK_FAULTS": str(self.path)}
        if self._files is not None:
            variables["PUFFINDECK_FAULTS_FOLDER"] = str(self._files)
        return variables

    def close(self) -> None:
        """Close the control file."""
        self._numbers.close()

    def _write_number(self, index: int, number: int) -> None:
        struct.pack_into("=q", self._numbers, 8 * index, number)

    def _read_number(self, index: int) -> int:
        return int(struct.unpack_from("=q", self._numbers, 8 * index)[0])

    def set_wall_clock(self, offset_s: float) -> None:
        """Set the offset of the wall clock from the true time in seconds; a negative offset puts it behind."""
        self._write_number(ControlField.WALL_OFFSET_NS, round(offset_s * NANOSECONDS_PER_SECOND))

    def fail(self, call: SystemCall, error: int, times: int = ALWAYS, chance: float = 1.0) -> None:
        """Make a call fail with an errno, at most `times` times. `chance` is the probability, from 0 to 1."""
        index = FAILURES + FAILURE_SIZE * call
        self._write_number(index, 0)  # no call fails while the other numbers change
        self._write_number(index + 1, times)
        self._write_number(index + 2, round(chance * MILLIONTHS))
        self._write_number(index, error)

    def clear_failures(self, *calls: SystemCall) -> None:
        """Stop the failures of the given calls, or of all calls if none is given."""
        for call in calls or tuple(SystemCall):
            self._write_number(FAILURES + FAILURE_SIZE * call, 0)

    def failed(self, call: SystemCall) -> int:
        """Return the number of failures injected into a call since the control file was created."""
        return self._read_number(FAILURES + FAILURE_SIZE * call + 3)

    def limit_io_bytes(self, max_bytes: int, chance: float = 1.0) -> None:
        """Limit the bytes of each read and write, with a probability from 0 to 1. 0 bytes removes the limit."""
        self._write_number(ControlField.SHORT_CHANCE, round(chance * MILLIONTHS))
        self._write_number(ControlField.SHORT_BYTES, max_bytes)

    def set_write_pause(self, pause_s: float, chance: float = 1.0) -> None:
        """Pause the process before sends, at most once per second, with a probability from 0 to 1. 0 s disables it."""
        self._write_number(ControlField.PAUSE_CHANCE, round(chance * MILLIONTHS))
        self._write_number(ControlField.PAUSE_NS, round(pause_s * NANOSECONDS_PER_SECOND))

    def kill_at_step(self, step: int) -> None:
        """Kill the process at a step of writing to its files (open, write, fsync, rename, unlink), counted from 1."""
        self._write_number(ControlField.KILL_AT_STEP, step)
