"""The file through which the processes of a node share the ids of requests that must not run twice."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from struct import Struct

from puffindeck.core.sent_request_ids import MAX_IDS, SentRequestId
from puffindeck.net.logs import RateLimitedLog

RECORD = Struct("<8sd")  # the digest of an id, and until when a repeat is harmless
MAX_FILE_OCTETS = 4 * MAX_IDS * RECORD.size  # a larger file is replaced by one with its last records
LOCK_TRIES = 100  # other processes hold the lock only for a few system calls
KEPT_OCTETS = MAX_IDS * RECORD.size


class SharedIdFile:
    """A file of records that every process appends to and reads (`SharedIds`).

    It may be replaced while other processes have it open; each notices that before it uses the file again.
    Errors of the file system are logged: this process then knows only its own ids.
    """

    def __init__(self, path: Path, errors: RateLimitedLog) -> None:
        self._path = path
        self._errors = errors
        self._file = -1
        self._offset = 0  # octets read

    def append(self, sent: SentRequestId) -> None:
        """Append a record."""
        try:
            with self._locked():
                self._write(RECORD.pack(*sent))
                if os.fstat(self._file).st_size > MAX_FILE_OCTETS:
                    self._replace()
        except OSError as error:
            self._errors.write("upgrade: request ids can't be shared: {error}", error=error)

    def read_new(self) -> Iterable[SentRequestId]:
        """Return the records that were appended since the last call, by any process."""
        try:
            if not self._is_current():
                self._open()
            octets = os.pread(self._file, os.fstat(self._file).st_size - self._offset, self._offset)
        except OSError as error:
            self._errors.write("upgrade: request ids can't be read: {error}", error=error)
            return ()
        octets = octets[: len(octets) - len(octets) % RECORD.size]
        self._offset += len(octets)
        return [SentRequestId(*fields) for fields in RECORD.iter_unpack(octets)]

    def close(self) -> None:
        """Close the file. It stays for the next process."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _open(self) -> None:
        self.close()
        self._path.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._file = os.open(self._path, flags, 0o600)
        self._offset = 0

    def _is_current(self) -> bool:
        """Return whether the open file is the one that has the name now."""
        if self._file < 0:
            return False
        try:
            return os.path.samestat(os.fstat(self._file), os.stat(self._path))
        except FileNotFoundError:
            return False

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Lock the current file. Raises BlockingIOError if another process keeps it locked."""
        for _ in range(LOCK_TRIES):
            if not self._is_current():
                self._open()
            with suppress(BlockingIOError):
                fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                if self._is_current():
                    break
            os.sched_yield()
        else:
            raise BlockingIOError("another process has locked the file")
        try:
            yield
        finally:
            fcntl.flock(self._file, fcntl.LOCK_UN)

    def _write(self, record: bytes) -> None:
        """Append a whole record or nothing of it. Raises OSError."""
        before = os.fstat(self._file).st_size
        if os.write(self._file, record) < len(record):  # the file system is full
            os.ftruncate(self._file, before)
            raise OSError("the file system accepted only a part of a record")

    def _replace(self) -> None:
        """Replace the file by one with its last records, with the lock held."""
        size = os.fstat(self._file).st_size
        draft = self._path.with_name(f".ids-{os.getpid()}")
        draft.write_bytes(os.pread(self._file, KEPT_OCTETS, size - KEPT_OCTETS))
        draft.replace(self._path)
