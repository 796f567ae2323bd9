"""The messages of the membership protocol, as they stand in datagrams.

Each message is a msgpack array, so the order of the fields and the `tag` numbers are the wire format. New fields go
to the end: a receiver that does not know them skips them. The protocol is SWIM (Das, Gupta, Motivala, 2002).
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Phase(IntEnum):
    """The state of a member. Of two updates with one incarnation, the one with the later phase supersedes the other."""

    ALIVE = 0
    SUSPECT = 1  # never disseminated: a suspicion is sent only to the suspect and to its other observers
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member, as another member knows it."""

    name: str
    phase: int
    incarnation: int  # raised only by the member itself, to refute a suspicion or a death
    process_incarnation: int  # a later process of the same name has a higher number
    address: str = ""
    region: str = ""


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A probe. The receiver answers with an Ack of the same number."""

    probe_number: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to a probe: `member` is alive. It is the sender, or the target of an indirect probe."""

    probe_number: int
    member: str


class IndirectPingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks the receiver to ping `target` and to forward its Ack."""

    probe_number: int
    target: str


class Suspicion(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The sender has no contact with a member.

    `confirmed`: the silence has lasted for the whole suspicion timeout, or the connection was refused for long enough.
    """

    name: str
    incarnation: int
    confirmed: bool
    refused: bool = False  # the member's machine refuses connections: earlier contact is no counter-evidence


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A datagram that only carries member updates."""


class StateDigest(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The hashes of the sender's member table, one a bucket of names. A receiver whose hashes differ answers."""

    bucket_hashes: list[int]
    is_reply: bool = False


class NameConflict(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The sender has used the receiver's name since before the receiver's process started."""

    process_incarnation: int
    address: str


class Payload(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A message between other modules of two members, named by `channel`."""

    channel: str
    data: bytes


Body = Ping | Ack | IndirectPingRequest | Suspicion | Gossip | StateDigest | NameConflict | Payload


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One datagram."""

    sender: str
    process_incarnation: int
    incarnation: int
    sequence_number: int  # of the datagrams of the sender's process; identifies duplicates
    recipient: str  # empty if the sender only knows an address
    sent_at_ms: int  # the sender's clock, which may be wrong
    body: Body
    updates: list[MemberUpdate] = []
