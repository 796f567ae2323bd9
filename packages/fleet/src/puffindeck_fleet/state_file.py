"""The state of a member that outlives its process, in a file that is replaced atomically."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path

import msgspec
from xxhash import xxh64_hexdigest

from puffindeck_fleet.errors import FolderUnusable, StateUnreadable

FORMAT_VERSION = 1
FOLDER_MODE = 0o700  # of a folder that has to be created


class MemberState(msgspec.Struct):
    """The state that is stored for a member. The names of the fields are those of the stored JSON."""

    name: str
    incarnation: int


class StateFile:
    """The file of one member: a line with version and checksum, and the state as JSON."""

    def __init__(self, folder: Path, name: str) -> None:
        self.path = folder / f"member-{name.encode().hex()}"

    def read(self) -> MemberState | None:
        """The state that an earlier process stored; None if there is none.

        Raises FolderUnusable if the file can't be opened, and StateUnreadable, after the file was set aside, if its
        content is damaged.
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
        """The state in a file's bytes. Raises ValueError or MsgspecError if they are damaged."""
        head, _, body = data.partition(b"\n")
        version, checksum = head.decode("ascii").split()
        if int(version) != FORMAT_VERSION:
            raise ValueError(f"version {version}")
        if checksum != xxh64_hexdigest(body):
            raise ValueError("its checksum is wrong")
        return msgspec.json.decode(body, type=MemberState)

    def write(self, state: MemberState) -> None:
        """Store the state. Raises FolderUnusable if that fails; the file is unchanged then."""
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
        """Make the replacement of the file durable."""
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
