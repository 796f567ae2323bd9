"""The stored form of detached hosts: a marker file for each, which a restart or an upgrade finds again."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path


class DetachmentStore:
    """The marker files of one node. A file is created and unlinked as a whole, so no reader sees half of one.

    All methods raise OSError.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def open(self) -> None:
        """Create the folder."""
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def _marker(self, host: str) -> Path:
        return self._folder / host.encode().hex()  # so no host's name leads out of the folder

    def put(self, host: str) -> None:
        """Store that a host is detached."""
        self._marker(host).touch(mode=0o600)

    def drop(self, host: str) -> None:
        """Remove the marker of a host that is in use again."""
        self._marker(host).unlink(missing_ok=True)

    def read(self) -> set[str]:
        """Return the hosts with a marker. Files that are not markers are ignored."""
        hosts = set()
        for marker in self._folder.iterdir():
            with suppress(ValueError):  # not hexadecimal, or not UTF-8
                hosts.add(bytes.fromhex(marker.name).decode())
        return hosts
