"""Messages by which gateways exchange rulesets, encoded as MessagePack arrays.

The order of the fields and the tags define the wire format. New fields may only be added at the end.
"""

from __future__ import annotations

import msgspec


class RulesetAdvertisement(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Announces the version and digest of the sender's current ruleset."""

    version: int
    digest: str


class RulesetRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Requests the ruleset with this version and digest."""

    version: int
    digest: str


class RulesetChunk(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """One of the `count` chunks of a ruleset's text. `index` starts at 0."""

    version: int
    digest: str
    index: int
    count: int
    data: bytes


Message = RulesetAdvertisement | RulesetRequest | RulesetChunk

DECODER = msgspec.msgpack.Decoder(Message)
ENCODER = msgspec.msgpack.Encoder()
