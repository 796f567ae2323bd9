"""Messages between gateways about rulesets, and their encoding (MessagePack arrays).

The order of the fields and the tags are the wire form. Fields may be added at the end.
"""

from __future__ import annotations

import msgspec


class RulesetAdvertisement(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The current ruleset of the sender."""

    version: int
    digest: str


class RulesetRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The sender asks for this ruleset."""

    version: int
    digest: str


class RulesetChunk(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """One of the `count` chunks of a ruleset's text; `index` counts from 0."""

    version: int
    digest: str
    index: int
    count: int
    data: bytes


Message = RulesetAdvertisement | RulesetRequest | RulesetChunk

DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
