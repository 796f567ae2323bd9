"""A ruleset's text as chunks that fit into datagrams, and back."""

from __future__ import annotations

from collections.abc import Iterator

from puffindeck_residency.messages import RulesetChunk
from puffindeck_residency.ruleset import Ruleset

CHUNK_BYTES = 900  # of a ruleset's text in one message


def split_into_chunks(ruleset: Ruleset) -> Iterator[RulesetChunk]:
    """The chunks of a ruleset, in their order."""
    count = -(-len(ruleset.text) // CHUNK_BYTES)
    for index in range(count):
        data = ruleset.text[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        yield RulesetChunk(ruleset.version, ruleset.digest, index, count, data)


class ChunkAssembler:
    """Joins the chunks that other members send; each sender's are collected apart."""

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, str], dict[int, bytes]] = {}  # by sender and digest, then by index

    def add(self, sender: str, chunk: RulesetChunk) -> bytes | None:
        """Add a chunk, in any order. Returns the text once it is complete, and forgets its chunks."""
        key = (sender, chunk.digest)
        received = self._incomplete.setdefault(key, {})
        received[chunk.index] = chunk.data
        if len(received) < chunk.count:
            return None
        del self._incomplete[key]
        return b"".join(received[index] for index in sorted(received))
