"""Detects duplicated and replayed datagrams by their sequence numbers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

SEQUENCE_WINDOW_SIZE = 256  # number of sequence numbers tracked per process; lower ones count as duplicates
MAX_TRACKED_PROCESSES = 4096  # tracked processes; the one that has been silent for longest is discarded first


class ProcessKey(NamedTuple):
    """Identifies a process of a sender."""

    sender: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class ReceivedNumbers:
    """The sequence numbers received from a process.

    Bit `n` of `bits` is set if the number `highest - n` was received.
    """

    highest: int
    bits: int = 0


class ReplayFilter:
    """Tracks the sequence numbers that each process of each sender has used recently."""

    def __init__(self) -> None:
        self._received: dict[ProcessKey, ReceivedNumbers] = {}  # ordered by the latest datagram, newest last

    def is_duplicate(self, sender: str, process_incarnation: int, sequence_number: int) -> bool:
        """Return whether this datagram was received before, and record it as received."""
        key = ProcessKey(sender, process_incarnation)
        numbers = self._received.get(key)
        if numbers is None:
            numbers = ReceivedNumbers(sequence_number)
        highest = numbers.highest
        bits = numbers.bits
        if sequence_number > highest:
            bits = (bits << (sequence_number - highest)) & ((1 << SEQUENCE_WINDOW_SIZE) - 1)
            highest = sequence_number
        distance = highest - sequence_number
        if distance >= SEQUENCE_WINDOW_SIZE or bits >> distance & 1:
            return True
        self._received.pop(key, None)
        self._received[key] = ReceivedNumbers(highest, bits | 1 << distance)
        if len(self._received) > MAX_TRACKED_PROCESSES:
            del self._received[next(iter(self._received))]
        return False
