"""The configuration of a member, as this package needs it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class FleetConfig(Protocol):
    """A node's `[fleet]` table, checked. `puffindeck.config.fleet` reads it."""

    @property
    def name(self) -> str:
        """The name of the fleet."""

    @property
    def bind(self) -> tuple[str, int]:
        """Host and port of the socket for datagrams."""

    @property
    def region(self) -> str:
        """The region of this member; empty if there are no regions."""

    @property
    def folder(self) -> str:
        """The folder of the state file; empty to store nothing."""

    @property
    def advertise(self) -> str:
        """The address that others use, if it is another one than `bind`."""

    @property
    def peers(self) -> dict[str, str]:
        """The addresses of configured peers, by name."""


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """What distinguishes a member and its process from others."""

    name: str
    process_incarnation: int
    seed: int
