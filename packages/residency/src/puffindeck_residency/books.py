"""How the book of rules spreads: by version, and never so that anybody serves what some rule in force forbids.

The newest book counts from the moment that it is told. The one before it counts too until every living member
holds the newest: so a tightening holds at once, and a loosening only when nobody is left who does not know it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from puffindeck_messaging import MessageReceived, Report, ReportThrottle, SendMessage
from puffindeck_residency.errors import BooksDiffer, BookUnreadable, ResidencyError
from puffindeck_residency.rules import Book

TELL_MS = 500.0  # between two words of which book is held
CHUNK = 900  # octets of a book in one parcel

# Between gateways. Fields may be added at the end.


class Have(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The newest book that I hold, and whether I still hold to one before it."""

    version: int
    digest: str


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Send me that book."""

    version: int
    digest: str


class Part(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A piece of it."""

    version: int
    digest: str
    index: int
    count: int
    data: bytes


DECODER, ENCODER = msgspec.msgpack.Decoder(Have | Ask | Part), msgspec.msgpack.Encoder()


@dataclass(slots=True)
class Seen:
    """The members that are not dead and have not left, itself left out."""

    living: frozenset[str]


class Books:
    """The books that one gateway holds.

    `read` makes a book of a text that another member sent; ValueError says why it can't. `voters` are the members
    of which a majority must have given word within `stale_ms`, or the book in force may be an old one.
    """

    def __init__(
        self,
        name: str,
        own: Book,
        read: Callable[[bytes], Book],
        voters: tuple[str, ...],
        stale_ms: float,
        refuses: bool,
    ) -> None:
        self.name, self._read, self.voters = name, read, voters
        self.stale_ms, self.refuses = stale_ms, refuses
        self.newest = own
        self.before: list[Book] = []  # older ones that count until all hold the newest
        self.rivals: list[Book] = []  # of the newest's version, with another content
        self.unreadable = ""  # the digest of a newer book that can't be read here
        self.generation = 0  # grows with each change of what counts
        self.dropped = 0
        self._held: dict[str, tuple[int, str, float]] = {}  # what others said that they hold, and when
        self._parts: dict[tuple[str, str], dict[int, bytes]] = {}
        self._living: frozenset[str] = frozenset()
        self._told_ms = float("-inf")
        self._reports = ReportThrottle()
        self._now = 0.0
        self._actions: list[SendMessage | Report] = []

    # What counts

    def in_force(self) -> tuple[Book, ...]:
        """All books that count now, the newest first."""
        return (self.newest, *self.rivals, *self.before)

    def fresh(self, now: float) -> bool:
        """Has a majority given word lately, so that no newer book can be in force unknown?"""
        if self.unreadable:
            return False
        heard = sum(
            name in self._held and now - self._held[name][2] <= self.stale_ms
            for name in self.voters
            if name != self.name
        )
        return 2 * (heard + (self.name in self.voters)) > len(self.voters)

    def serves(self, now: float) -> bool:
        """May ruled services be served at all?"""
        return not self.unreadable and (not self.refuses or self.fresh(now))

    # Events

    def handle(self, now: float, events: Iterable[MessageReceived | Seen]) -> list[SendMessage | Report]:
        """Take in what has happened; what to send, and what staff should hear."""
        self._now, self._actions = now, []
        for event in events:
            if isinstance(event, Seen):
                self._living = event.living
            else:
                self._came(event)
        self._settle()
        if now - self._told_ms >= TELL_MS:
            self._told_ms = now
            for name in sorted(self._living):
                self._send(name, Have(self.newest.version, self.newest.digest))
        return self._actions

    def reread(self, book: Book) -> None:
        """The file was read anew. An older book than is known here changes nothing."""
        self._adopt(book, self.name)

    def _send(self, to: str, message: Have | Ask | Part) -> None:
        self._actions.append(SendMessage(to, ENCODER.encode(message)))

    def _report(self, error: ResidencyError) -> None:
        self._actions += self._reports.reports(self._now, error)

    def _came(self, event: MessageReceived) -> None:
        try:
            message = DECODER.decode(event.data)
        except msgspec.MsgspecError:
            self.dropped += 1
            return
        if isinstance(message, Have):
            self._held[event.sender] = message.version, message.digest, self._now
            known = {book.digest for book in self.in_force()} | {self.unreadable}
            if message.version >= self.newest.version and message.digest not in known:
                self._send(event.sender, Ask(message.version, message.digest))
        elif isinstance(message, Ask):
            book = next((b for b in self.in_force() if b.digest == message.digest), None)
            if book is not None:
                count = -(-len(book.text) // CHUNK)
                for i in range(count):
                    piece = book.text[i * CHUNK : (i + 1) * CHUNK]
                    self._send(event.sender, Part(book.version, book.digest, i, count, piece))
        else:
            self._take(event.sender, message)

    def _take(self, sender: str, part: Part) -> None:
        pieces = self._parts.setdefault((sender, part.digest), {})
        pieces[part.index] = part.data
        if len(pieces) < part.count:
            return
        del self._parts[sender, part.digest]
        text = b"".join(pieces[i] for i in sorted(pieces))
        try:
            book = self._read(text)
            if book.digest != part.digest or book.version != part.version:
                raise ValueError("it is not the one that was told")
        except ValueError as error:
            if part.version > self.newest.version:
                self.unreadable = part.digest
                self.generation += 1
            self._report(BookUnreadable("residency", version=part.version, peer=sender, reason=error))
            return
        self._adopt(book, sender)

    def _adopt(self, book: Book, sender: str) -> None:
        """A book that is newer, or another one of the newest's version."""
        if book.digest in {known.digest for known in self.in_force()} or book.version < self.newest.version:
            return
        self.generation += 1
        if book.version == self.newest.version:
            self.rivals.append(book)
            self._report(BooksDiffer("residency.version", peer=sender, version=book.version))
            return
        self.before += [self.newest, *self.rivals]
        self.newest, self.rivals, self.unreadable = book, [], ""

    def _settle(self) -> None:
        """Do all living members hold the newest book? Then those before it count no more."""
        if not self.before or not self._living or self.rivals:
            return
        newest = self.newest.digest
        if all(name in self._held and self._held[name][1] == newest for name in self._living) and self.fresh(self._now):
            self.before = []
            self.generation += 1
