"""Quota messages between two gateways, encoded as MessagePack arrays.

The order of the fields and the tags define the wire format. New fields may only be added at the end. Times are in
milliseconds; windows and epochs are numbered from 1970-01-01 UTC.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class WindowConsumption(NamedTuple):
    """The number of permits that a gateway has consumed in a window."""

    window: int
    consumed: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Periodic state of a member.

    Carries the member's process incarnation, its configured voters and epoch length, the configured amounts by the name
    of a limit, and its consumption by the key of a tenant's limit.
    """

    process_incarnation: int
    voters: str
    amounts: dict[str, int]
    consumption: dict[str, WindowConsumption] = {}


class TransferRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Requests more permits of a tenant's limit in a window for the sender."""

    limit: str  # the key of the tenant's limit
    window: int
    available: int
    rate: float  # demand at the sender, in requests per second
    process_incarnation: int


class Transfer(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """How many permits of a tenant's limit in a window the sender has transferred to the receiver in total.

    Because the message carries a cumulative total, a duplicated, delayed or reordered copy has no further effect.
    """

    limit: str  # the key of the tenant's limit
    window: int
    total: int
    receiver_incarnation: int
    process_incarnation: int
    available: int  # permits still available at the sender


class AllocationMember(NamedTuple):
    """A process that is allocated permits in an epoch."""

    name: str
    process_incarnation: int
    region: str


class Allocation(msgspec.Struct, array_like=True, frozen=True):
    """The processes that are allocated permits in the windows that begin in an epoch.

    `amounts` has the amount of each limit, by the name of the limit.
    """

    members: list[AllocationMember]
    amounts: dict[str, int]


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Paxos phase 1a: asks for a promise not to vote in any lower ballot."""

    epoch: int
    ballot: int


class Promise(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Paxos phase 1b: promises not to vote in any lower ballot.

    Carries the allocation that the sender accepted in its highest ballot so far. If it has accepted none,
    `accepted_ballot` is -1 and `accepted_allocation` is None.
    """

    epoch: int
    ballot: int
    accepted_ballot: int
    accepted_allocation: Allocation | None


class Accept(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Paxos phase 2a: asks the voters to accept an allocation in a ballot."""

    epoch: int
    ballot: int
    allocation: Allocation


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Paxos phase 2b: the sender has accepted the allocation proposed in this ballot."""

    epoch: int
    ballot: int


class Chosen(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Announces the allocation that a majority of the voters has accepted for an epoch."""

    epoch: int
    allocation: Allocation


class LearnRequest(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Asks which allocation was chosen for an epoch."""

    epoch: int


PaxosMessage = Prepare | Promise | Accept | Accepted | Chosen | LearnRequest
Message = Heartbeat | TransferRequest | Transfer | PaxosMessage
DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
