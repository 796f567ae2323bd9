"""The local member: its identity and its own state."""

from __future__ import annotations

from puffindeck_membership.messages import MemberUpdate, Phase


class LocalMember:
    """The local member, as it describes itself to other members."""

    def __init__(self, name: str, address: str, region: str, process_incarnation: int, incarnation: int) -> None:
        self.name = name
        self.address = address
        self.region = region
        self.process_incarnation = process_incarnation
        self.incarnation = incarnation
        self.phase = Phase.ALIVE
        self.excluded_by_peers = False  # whether it was declared dead and its refutation may not have arrived

    def update(self) -> MemberUpdate:
        """Return the update that describes the local member."""
        return MemberUpdate(
            self.name, self.phase, self.incarnation, self.process_incarnation, self.address, self.region
        )

    def raise_incarnation(self, refuted: int) -> None:
        """Raise the incarnation above the refuted one, so that the local member's update supersedes it."""
        if refuted >= self.incarnation:
            self.incarnation = refuted + 1
