"""Splitting a ruleset's text into chunks and reassembling it."""

from __future__ import annotations

import pytest

from puffindeck_residency import Ruleset
from puffindeck_residency.messages import RulesetChunk
from puffindeck_residency.ruleset_chunks import CHUNK_BYTES, ChunkAssembler, split_into_chunks


def ruleset(size: int) -> Ruleset:
    return Ruleset(3, bytes(index % 251 for index in range(size)), (), {})


@pytest.mark.parametrize(
    ("size", "count"),
    [(1, 1), (CHUNK_BYTES, 1), (CHUNK_BYTES + 1, 2), (3 * CHUNK_BYTES, 3)],
)
def test_reordered_and_duplicated_chunks_are_reassembled(size: int, count: int) -> None:
    original = ruleset(size)
    chunks = list(split_into_chunks(original))
    assert [(chunk.index, chunk.count) for chunk in chunks] == [(index, count) for index in range(count)]
    assembler = ChunkAssembler()
    for chunk in [*chunks[1:], *chunks[1:]]:
        assert assembler.add("e1", chunk) is None
    assert assembler.add("e1", chunks[0]) == original.text


def test_chunks_of_two_senders_are_collected_separately() -> None:
    first, second = split_into_chunks(ruleset(CHUNK_BYTES + 1))
    assembler = ChunkAssembler()
    assert assembler.add("e1", first) is None
    assert assembler.add("e2", second) is None
    assert assembler.add("e2", first) == ruleset(CHUNK_BYTES + 1).text


def test_chunks_are_discarded_once_text_is_complete() -> None:
    chunk = RulesetChunk(1, "00", 0, 1, b"text")
    assembler = ChunkAssembler()
    assert assembler.add("e1", chunk) == b"text"
    assert assembler.add("e1", chunk) == b"text"
