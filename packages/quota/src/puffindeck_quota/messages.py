"""Messages between the quotas of two gateways, as MessagePack arrays.

The order of the fields and the tags are the wire format. Fields may be added at the end. Times are in milliseconds;
windows and epochs are numbered since 1970.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class WindowConsumption(NamedTuple):
    """Permits that a gateway has consumed in a window."""

    window: int
    consumed: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A member's process, its view of voters and amounts, and its consumption by key of a tenant's limit."""

    process_incarnation: int
    voters: str
    amounts: dict[str, int]
    consumption: dict[str, WindowConsumption] = {}


class TransferRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The sender needs more permits of a tenant's limit in a window."""

    limit: str  # the key of the tenant's limit
    window: int
    available: int
    rate: float  # demand at the sender, a second
    process_incarnation: int


class Transfer(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The total that the sender has transferred to the receiver of a tenant's limit in a window.

    As it is a total, a copy of this message or one that arrives late adds nothing.
    """

    limit: str  # the key of the tenant's limit
    window: int
    total: int
    receiver_incarnation: int
    process_incarnation: int
    available: int  # what is left at the sender


class AllocationMember(NamedTuple):
    """A process that receives permits in an epoch."""

    name: str
    process_incarnation: int
    region: str


class Allocation(msgspec.Struct, array_like=True, frozen=True):
    """Who receives permits in windows that begin in an epoch, and the amounts by the name of a limit."""

    members: list[AllocationMember]
    amounts: dict[str, int]


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Paxos phase 1a: asks for a promise to take part in no earlier ballot."""

    epoch: int
    ballot: int


class Promise(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Paxos phase 1b: the promise, with what the sender accepted in its latest ballot (-1: nothing)."""

    epoch: int
    ballot: int
    accepted_ballot: int
    accepted_allocation: Allocation | None


class Accept(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Paxos phase 2a: asks the voters to accept an allocation."""

    epoch: int
    ballot: int
    allocation: Allocation


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Paxos phase 2b: the sender has accepted the allocation of that ballot."""

    epoch: int
    ballot: int


class Chosen(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """A majority has accepted this allocation."""

    epoch: int
    allocation: Allocation


class LearnRequest(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Asks which allocation was chosen for an epoch."""

    epoch: int


PaxosMessage = Prepare | Promise | Accept | Accepted | Chosen | LearnRequest
Message = Heartbeat | TransferRequest | Transfer | PaxosMessage
DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
