"""Numbered slots: what is late for one that has been given away again finds nothing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 16  # slots at once; the rest of a number is its generation, so no number comes twice


class GenerationalArena(Generic[T]):
    """A table of things by number. A number is a slot's index and the slot's generation."""

    def __init__(self) -> None:
        self._things: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._things) - len(self._free)

    def full(self) -> bool:
        return len(self) >= 1 << INDEX_BITS

    def add(self, thing: T) -> int:
        """Put it into a free slot; its number, which is never 0."""
        if self.full():
            raise OverflowError("all slots are taken")
        if self._free:
            index = self._free.pop()
            self._things[index] = thing
        else:
            index = len(self._things)
            self._things.append(thing)
            self._generations.append(1)
        return self._generations[index] << INDEX_BITS | index

    def get(self, number: int) -> T | None:
        """What has this number; None once it is gone, whoever has its slot now."""
        index = number & (1 << INDEX_BITS) - 1
        if index >= len(self._things) or self._generations[index] != number >> INDEX_BITS:
            return None
        return self._things[index]

    def drop(self, number: int) -> None:
        """Free the slot; its number is spent."""
        if self.get(number) is not None:
            index = number & (1 << INDEX_BITS) - 1
            self._things[index] = None
            self._generations[index] += 1
            self._free.append(index)

    def __iter__(self) -> Iterator[T]:
        return iter([thing for thing in self._things if thing is not None])
