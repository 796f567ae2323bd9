"""Splits a ruleset's text into chunks that fit into datagrams, and reassembles it."""

from __future__ import annotations

from collections.abc import Iterator

from puffindeck_residency.messages import RulesetChunk
from puffindeck_residency.ruleset import Ruleset

CHUNK_BYTES = 900  # maximum number of bytes of a ruleset's text in one message


def split_into_chunks(ruleset: Ruleset) -> Iterator[RulesetChunk]:
    """Yield the chunks of a ruleset, in order of their index."""
    count = -(-len(ruleset.text) // CHUNK_BYTES)
    for index in range(count):
        data = ruleset.text[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        yield RulesetChunk(ruleset.version, ruleset.digest, index, count, data)


class ChunkAssembler:
    """Reassembles rulesets from chunks. The chunks of each sender are collected separately."""

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, str], dict[int, bytes]] = {}  # by sender and digest, then by index

    def add(self, sender: str, chunk: RulesetChunk) -> bytes | None:
        """Add a chunk; chunks may arrive in any order.

        Return the text and discard its chunks once all have been received, else return None.
        """
        key = (sender, chunk.digest)
        received = self._incomplete.setdefault(key, {})
        received[chunk.index] = chunk.data
        if len(received) < chunk.count:
            return None
        del self._incomplete[key]
        return b"".join(received[index] for index in sorted(received))
