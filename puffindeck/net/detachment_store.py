"""Persistent storage of detached hosts: a marker file for each, which survives restarts and upgrades."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path


class DetachmentStore:
    """The marker files of one node. Creating and unlinking a file is atomic, so no reader sees half of one.

    All methods raise OSError.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def open(self) -> None:
        """Create the folder."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def _marker(self, host: str) -> Path:
        return self._folder / host.encode().hex()  # hexadecimal, so that no name leads out of the folder

    def put(self, host: str) -> None:
        """Create the marker of a detached host."""
        self._marker(host).touch(mode=0o600)

    def drop(self, host: str) -> None:
        """Remove the marker of a host that is in use again."""
        self._marker(host).unlink(missing_ok=True)

    def read(self) -> set[str]:
        """Return the hosts that have a marker. Other files are ignored."""
        hosts = set()
        for marker in self._folder.iterdir():
            with suppress(ValueError):  # not hexadecimal, or not UTF-8
                hosts.add(bytes.fromhex(marker.name).decode())
        return hosts
