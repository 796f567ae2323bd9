"""The messages of the membership protocol, SWIM (Das, Gupta, Motivala, 2002), and their wire format.

Each message is a msgpack array, so the order of the fields and the `tag` numbers define the wire format. New
fields must be appended, because a receiver skips the trailing fields that it does not know.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Phase(IntEnum):
    """The state of a member. Of two updates with the same incarnation, the one with the higher phase wins."""

    ALIVE = 0
    SUSPECT = 1  # never disseminated, because a suspicion is sent only to the suspect and its other observers
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member, as another member knows it."""

    name: str
    phase: int
    incarnation: int  # raised only by the member itself, to refute a suspicion or a death
    process_incarnation: int  # higher for a later process of the same name
    address: str = ""
    region: str = ""


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A probe. The receiver answers with an `Ack` that has the same probe number."""

    probe_number: int


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to a probe, which shows that `member` is alive.

    `member` is the sender of the Ack, the target of an indirect ping, or a suspect that the sender has had contact
    with recently.
    """

    probe_number: int
    member: str


class IndirectPingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """SWIM's ping-req: requests that the receiver ping `target` and forward its Ack."""

    probe_number: int
    target: str


class Suspicion(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The sender suspects that the member `name` has failed.

    `confirmed` is set once the member has been silent for the whole suspicion timeout, or its host has
    refused connections for the confirmation period.
    """

    name: str
    incarnation: int
    confirmed: bool
    refused: bool = False  # the member's host refuses connections, which earlier contact does not refute


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """The body of a datagram that only contains member updates."""


class StateDigest(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The hashes of the sender's member table, one per bucket of names.

    The receiver answers with its own digest and with the updates in the buckets that differ. It answers a
    reply (`is_reply`) with updates only.
    """

    bucket_hashes: list[int]
    is_reply: bool = False


class NameConflict(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Notifies the receiver that the sender's process has the same name and started earlier."""

    process_incarnation: int
    address: str


class Payload(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A message between two members for the module that `channel` names."""

    channel: str
    data: bytes


Body = Ping | Ack | IndirectPingRequest | Suspicion | Gossip | StateDigest | NameConflict | Payload


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The content of one datagram: the sender, the recipient, a body and member updates."""

    sender: str
    process_incarnation: int
    incarnation: int
    sequence_number: int  # unique per process of the sender; identifies duplicates
    recipient: str  # empty if the sender only knows an address
    sent_at_ms: int  # time by the sender's clock, which may be wrong
    body: Body
    updates: list[MemberUpdate] = []
