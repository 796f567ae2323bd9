"""Recognizes datagrams that were received before, copies and replays alike, by their sequence numbers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

WINDOW = 256  # sequence numbers below the highest that are tracked; older ones count as received
MAX_PROCESSES = 4096  # processes that are tracked at once


class ProcessKey(NamedTuple):
    """A process of a sender."""

    sender: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class ReceivedNumbers:
    """The sequence numbers received from a process: the highest, and a bit for each one below it."""

    highest: int
    bits: int = 0


class ReplayFilter:
    """The sequence numbers that each sender's process has used recently."""

    def __init__(self) -> None:
        self._received: dict[ProcessKey, ReceivedNumbers] = {}  # the process that sent last stands last

    def is_duplicate(self, sender: str, process_incarnation: int, sequence_number: int) -> bool:
        """Whether this datagram was received before. From now on it counts as received."""
        key = ProcessKey(sender, process_incarnation)
        numbers = self._received.get(key)
        if numbers is None:
            numbers = ReceivedNumbers(sequence_number)
        highest = numbers.highest
        bits = numbers.bits
        if sequence_number > highest:
            bits = (bits << (sequence_number - highest)) & ((1 << WINDOW) - 1)
            highest = sequence_number
        distance = highest - sequence_number
        if distance >= WINDOW or bits >> distance & 1:
            return True
        self._received.pop(key, None)
        self._received[key] = ReceivedNumbers(highest, bits | 1 << distance)
        if len(self._received) > MAX_PROCESSES:
            del self._received[next(iter(self._received))]
        return False
