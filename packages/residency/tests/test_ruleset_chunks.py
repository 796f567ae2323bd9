"""A ruleset's text in chunks and joined again."""

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
def test_chunks_in_any_order_and_twice_give_the_text(size: int, count: int) -> None:
    sent = ruleset(size)
    chunks = list(split_into_chunks(sent))
    assert [(chunk.index, chunk.count) for chunk in chunks] == [(index, count) for index in range(count)]
    assembler = ChunkAssembler()
    for chunk in [*chunks[1:], *chunks[1:]]:
        assert assembler.add("e1", chunk) is None
    assert assembler.add("e1", chunks[0]) == sent.text


def test_chunks_of_two_senders_are_collected_apart() -> None:
    first, second = split_into_chunks(ruleset(CHUNK_BYTES + 1))
    assembler = ChunkAssembler()
    assert assembler.add("e1", first) is None
    assert assembler.add("e2", second) is None
    assert assembler.add("e2", first) == ruleset(CHUNK_BYTES + 1).text


def test_a_complete_text_is_forgotten() -> None:
    chunk = RulesetChunk(1, "00", 0, 1, b"text")
    assembler = ChunkAssembler()
    assert assembler.add("e1", chunk) == b"text"
    assert assembler.add("e1", chunk) == b"text"
