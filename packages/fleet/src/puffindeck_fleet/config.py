"""The configuration of a fleet member that this package requires."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class FleetConfig(Protocol):
    """A node's validated `[fleet]` table. `puffindeck.config.fleet` parses it."""

    @property
    def name(self) -> str:
        """The name of the fleet."""

    @property
    def bind(self) -> tuple[str, int]:
        """Host and port that the datagram socket binds to."""

    @property
    def region(self) -> str:
        """The region of this member; empty if no regions are configured."""

    @property
    def folder(self) -> str:
        """The folder of the state file; empty if no state is stored."""

    @property
    def advertise(self) -> str:
        """The address that other members send to; empty if it is the same as `bind`."""

    @property
    def peers(self) -> dict[str, str]:
        """The addresses of configured peers, by name."""


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """The name of a member, the incarnation of its process and the seed of its random numbers."""

    name: str
    process_incarnation: int
    seed: int
