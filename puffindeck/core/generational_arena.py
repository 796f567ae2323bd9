"""Numbered slots with generations, so that a late callback can't reach the new item of a reused slot."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
INDEX_BITS = 16  # low bits of a number; the bits above are the generation, so numbers are never reused


class GenerationalArena(Generic[T]):
    """A table of items by number. A number consists of a slot's index and generation."""

    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def full(self) -> bool:
        """Return whether all slots are in use."""
        return len(self) >= 1 << INDEX_BITS

    def add(self, item: T) -> int:
        """Store an item and return its number, never 0. Raises OverflowError if all slots are in use."""
        if self.full():
            raise OverflowError("all slots are in use")
        if self._free:
            index = self._free.pop()
            self._items[index] = item
        else:
            index = len(self._items)
            self._items.append(item)
            self._generations.append(1)
        return self._generations[index] << INDEX_BITS | index

    def get(self, number: int) -> T | None:
        """Return the item with this number; None after its removal, even if its slot was reused."""
        index = number & (1 << INDEX_BITS) - 1
        if index >= len(self._items) or self._generations[index] != number >> INDEX_BITS:
            return None
        return self._items[index]

    def drop(self, number: int) -> None:
        """Remove an item and free its slot. Its number is never used again."""
        if self.get(number) is not None:
            index = number & (1 << INDEX_BITS) - 1
            self._items[index] = None
            self._generations[index] += 1
            self._free.append(index)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self._items if item is not None])
