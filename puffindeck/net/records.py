"""Which hosts staff have detached: a marker file for each, so that a restart or an upgrade keeps the ban."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path


class Records:
    """The markers of one node. A file is made and unlinked whole: whoever reads sees it or does not."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def open(self) -> None:
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)

    def _marker(self, host: str) -> Path:
        return self._folder / host.encode().hex()  # no name a host may have leads out of the folder

    def put(self, host: str) -> None:
        self._marker(host).touch(mode=0o600)

    def drop(self, host: str) -> None:
        self._marker(host).unlink(missing_ok=True)

    def read(self) -> set[str]:
        """The hosts with a marker. What is not one of ours harms nobody."""
        hosts = set()
        for marker in self._folder.iterdir():
            with suppress(ValueError):  # not hexadecimal, or not UTF-8
                hosts.add(bytes.fromhex(marker.name).decode())
        return hosts
