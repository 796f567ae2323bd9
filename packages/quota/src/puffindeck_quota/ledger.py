"""Rights of one limit in one window, as one gateway has them: minted, got, given, spent.

Each figure only grows, so copies and disorder of messages change nothing. What is given away is gone here before
it can be spent there, and what was lost with a process is spent by nobody.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

from puffindeck_quota.limits import Limit


class Ledger:
    """One limit and tenant in one window."""

    __slots__ = ("given", "got", "held", "minted", "overdrawn", "refused", "settled", "spent")

    def __init__(self) -> None:
        self.minted = self.spent = self.overdrawn = self.refused = 0
        self.held = 0  # what may still be spent, or given away, here
        self.settled = False  # is it known what is minted here?
        self.given: dict[tuple[str, int], int] = {}  # by the life of a member
        self.got: dict[tuple[str, int], int] = {}

    def mint(self, minted: int) -> None:
        """The roster is known."""
        if not self.settled:
            self.settled, self.minted = True, minted
            self.held += minted

    def lower(self, minted: int) -> None:
        """A lower limit counts at once, a higher one from the next window on."""
        if self.settled and minted < self.minted:
            self.held -= self.minted - minted  # it may fall under 0: then nothing more is spent or given
            self.minted = minted

    def spend(self) -> bool:
        if self.held <= 0:
            return False
        self.held -= 1
        self.spent += 1
        return True

    def unspend(self) -> None:
        self.held += 1
        self.spent -= 1

    def give(self, to: tuple[str, int], count: int) -> int:
        """The new total of what a member was given."""
        count = max(0, min(count, self.held))
        total = self.given.get(to, 0) + count
        if count:
            self.given[to] = total
            self.held -= count
        return total

    def take(self, giver: tuple[str, int], total: int) -> int:
        """A member says what it has given in all; what of it is new."""
        new = max(0, total - self.got.get(giver, 0))
        if new:
            self.got[giver] = total
            self.held += new
        return new


@dataclass(slots=True, eq=False)
class Charge:
    """What a request or a connection has been charged: rights by limit, and in which windows."""

    tenant: str
    asked_ms: float
    parts: list[tuple[Account, set[int]]] = field(default_factory=list)  # and in which windows
    overdrawn: list[tuple[Account, int]] = field(default_factory=list)
    begun_ms: float = 0.0  # since when the connection stands
    over: bool = False


class Account:
    """One limit for one tenant: its windows, and what is asked for here."""

    __slots__ = (
        "again_ms",
        "asked",
        "asked_ms",
        "every_ms",
        "hints",
        "key",
        "ledgers",
        "limit",
        "spent_there",
        "standing",
    )

    def __init__(self, limit: Limit, key: str) -> None:
        self.limit, self.key = limit, key
        self.ledgers: dict[int, Ledger] = {}
        self.asked, self.asked_ms = 0.0, 0.0  # requests of late, fading
        self.again_ms = self.every_ms = 0.0  # when others are asked for rights again, and how often now
        self.hints: dict[tuple[int, str], int] = {}  # what a member said that it holds, by window
        self.spent_there: dict[tuple[int, str], int] = {}
        self.standing: set[Charge] = set()

    def note(self, now: float, memory_ms: float) -> None:
        """One more is asked for."""
        self.asked = self.asked * exp((self.asked_ms - now) / memory_ms) + 1.0
        self.asked_ms = now

    def rate(self, now: float, memory_ms: float) -> float:
        """What is asked for here, a second."""
        return self.asked * exp((self.asked_ms - now) / memory_ms) * 1000.0 / memory_ms

    def ledger(self, window: int) -> Ledger:
        found = self.ledgers.get(window)
        if found is None:
            found = self.ledgers[window] = Ledger()
        return found
