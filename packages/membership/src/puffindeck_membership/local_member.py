"""The local member: its identity and its own state."""

from __future__ import annotations

from puffindeck_membership.messages import MemberUpdate, Phase


class LocalMember:
    """The local member, as it describes itself to the others."""

    def __init__(self, name: str, address: str, region: str, process_incarnation: int, incarnation: int) -> None:
        self.name = name
        self.address = address
        self.region = region
        self.process_incarnation = process_incarnation
        self.incarnation = incarnation
        self.phase = Phase.ALIVE
        self.excluded_by_peers = False  # others count it as dead, and may not have received its refutation

    def update(self) -> MemberUpdate:
        """The update that describes this member."""
        return MemberUpdate(
            self.name, self.phase, self.incarnation, self.process_incarnation, self.address, self.region
        )

    def raise_incarnation(self, refuted: int) -> None:
        """Go beyond an incarnation that others have used, so that this member's update supersedes theirs."""
        if refuted >= self.incarnation:
            self.incarnation = refuted + 1
