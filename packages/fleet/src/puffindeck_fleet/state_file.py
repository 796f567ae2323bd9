"""Persists the state of a member in a file that is replaced atomically."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import msgspec
from xxhash import xxh64_hexdigest

from puffindeck_fleet.errors import FolderUnusable, StateUnreadable

FORMAT_VERSION = 1
FOLDER_MODE = 0o700  # mode of a newly created folder


class MemberState(msgspec.Struct):
    """The stored state of a member. The names of the fields are the keys of the stored JSON."""

    name: str
    incarnation: int


class StateFile:
    """The state file of one member: a line with the format version and a checksum, then the state as JSON."""

    def __init__(self, folder: Path, name: str) -> None:
        self.path = folder / f"member-{name.encode().hex()}"

    def read(self) -> MemberState | None:
        """Return the state that an earlier process has stored; None if there is none.

        Raise FolderUnusable if the file can't be read. If its content is invalid, rename the file with the
        suffix `.unreadable` and raise StateUnreadable.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise FolderUnusable(str(self.path), reason=error.strerror) from None
        try:
            return self._decode(data)
        except (ValueError, msgspec.MsgspecError) as error:
            aside = self.path.with_suffix(".unreadable")
            with suppress(OSError):
                self.path.replace(aside)
            raise StateUnreadable(str(self.path), reason=str(error), aside=str(aside)) from None

    @staticmethod
    def _decode(data: bytes) -> MemberState:
        """Decode the content of a state file. Raise ValueError or MsgspecError if it is invalid."""
        header, _, body = data.partition(b"\n")
        version, checksum = header.decode("ascii").split()
        if int(version) != FORMAT_VERSION:
            raise ValueError(f"unsupported format version {version}")
        if checksum != xxh64_hexdigest(body):
            raise ValueError("checksum mismatch")
        return msgspec.json.decode(body, type=MemberState)

    def write(self, state: MemberState) -> None:
        """Store the state. If that fails, leave the file unchanged and raise FolderUnusable."""
        body = msgspec.json.encode(state)
        draft = self.path.with_suffix(".draft")
        try:
            self.path.parent.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            with draft.open("wb") as file:
                file.write(f"{FORMAT_VERSION} {xxh64_hexdigest(body)}\n".encode() + body)
                file.flush()
                os.fsync(file.fileno())
            draft.replace(self.path)
            self._sync_folder()
        except OSError as error:
            raise FolderUnusable(str(self.path), reason=error.strerror) from None

    def _sync_folder(self) -> None:
        """Sync the folder, which makes the replacement of the file durable."""
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
