"""The rulesets of one gateway, and how they spread by version.

The current ruleset applies from the moment that it is received. The one before it applies too until every live
member has the current one. So a restriction applies at once, and a relaxation only when no member is left that
does not know it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from puffindeck_messaging import MessageReceived, Report, ReportThrottle, SendMessage
from puffindeck_residency.errors import BooksDiffer, BookUnreadable, ResidencyError
from puffindeck_residency.messages import (
    DECODER,
    ENCODER,
    Message,
    RulesetAdvertisement,
    RulesetChunk,
    RulesetRequest,
)
from puffindeck_residency.ruleset import Ruleset
from puffindeck_residency.ruleset_chunks import ChunkAssembler, split_into_chunks

ADVERTISEMENT_INTERVAL_MS = 500.0  # milliseconds between two advertisements of the current ruleset


@dataclass(slots=True)
class LiveMembersUpdated:
    """Event: the members that are neither dead nor have left, without this one."""

    live: frozenset[str]


@dataclass(slots=True, frozen=True)
class ReceivedAdvertisement:
    """The last advertisement of another member."""

    digest: str
    received_ms: float


class RulesetStore:
    """Owns the rulesets of one gateway; it performs no I/O and reads no clock.

    `parse` makes a ruleset of a text that another member sent; it raises ValueError with the reason if it can't.
    `voters` are the members of which a majority must have sent an advertisement within `stale_after_ms`
    milliseconds; without it the current ruleset may be outdated, and with `refuse_when_stale` no service that has
    a rule is served.
    """

    def __init__(
        self,
        name: str,
        initial: Ruleset,
        parse: Callable[[bytes], Ruleset],
        voters: tuple[str, ...],
        stale_after_ms: float,
        refuse_when_stale: bool,
    ) -> None:
        self.name = name
        self.voters = voters
        self.stale_after_ms = stale_after_ms
        self.refuse_when_stale = refuse_when_stale
        self.current = initial
        self.superseded: list[Ruleset] = []  # older ones that apply until all members have the current one
        self.conflicting: list[Ruleset] = []  # of the current one's version, with other content
        self.unreadable_digest = ""  # of a newer ruleset that can't be parsed here
        self.generation = 0  # grows with each change of the rulesets that apply
        self.malformed_messages = 0
        self._parse = parse
        self._advertisements: dict[str, ReceivedAdvertisement] = {}
        self._assembler = ChunkAssembler()
        self._live: frozenset[str] = frozenset()
        self._advertised_ms = float("-inf")
        self._report_throttle = ReportThrottle()
        self._now_ms = 0.0
        self._actions: list[SendMessage | Report] = []

    def active(self) -> tuple[Ruleset, ...]:
        """All rulesets that apply now, the current one first."""
        return (self.current, *self.conflicting, *self.superseded)

    def has_quorum_contact(self, now_ms: float) -> bool:
        """Has a majority of the voters sent an advertisement lately, so that no newer ruleset can be unknown here?"""
        if self.unreadable_digest:
            return False
        others = [name for name in self.voters if name != self.name]
        in_contact = sum(self._heard_lately(name, now_ms) for name in others)
        return 2 * (in_contact + (self.name in self.voters)) > len(self.voters)

    def may_serve(self, now_ms: float) -> bool:
        """May services that have a rule be served at all?"""
        if self.unreadable_digest:
            return False
        return not self.refuse_when_stale or self.has_quorum_contact(now_ms)

    def handle(
        self, now_ms: float, events: Iterable[MessageReceived | LiveMembersUpdated]
    ) -> list[SendMessage | Report]:
        """Process events. Returns the messages to send and the errors to report to operators."""
        self._now_ms = now_ms
        self._actions = []
        for event in events:
            if isinstance(event, LiveMembersUpdated):
                self._live = event.live
            else:
                self._on_message(event)
        self._retire_superseded()
        if now_ms - self._advertised_ms >= ADVERTISEMENT_INTERVAL_MS:
            self._advertise()
        return self._actions

    def reload(self, ruleset: Ruleset) -> None:
        """Take the ruleset of a file that was read again. One older than the current one changes nothing."""
        self._adopt(ruleset, self.name)

    def _heard_lately(self, name: str, now_ms: float) -> bool:
        advertisement = self._advertisements.get(name)
        return advertisement is not None and now_ms - advertisement.received_ms <= self.stale_after_ms

    def _send(self, to: str, message: Message) -> None:
        self._actions.append(SendMessage(to, ENCODER.encode(message)))

    def _report(self, error: ResidencyError) -> None:
        self._actions += self._report_throttle.reports(self._now_ms, error)

    def _advertise(self) -> None:
        self._advertised_ms = self._now_ms
        for name in sorted(self._live):
            self._send(name, RulesetAdvertisement(self.current.version, self.current.digest))

    def _on_message(self, event: MessageReceived) -> None:
        try:
            message: Message = DECODER.decode(event.data)
        except msgspec.MsgspecError:
            self.malformed_messages += 1
            return
        if isinstance(message, RulesetAdvertisement):
            self._on_advertisement(event.sender, message)
        elif isinstance(message, RulesetRequest):
            self._on_request(event.sender, message)
        else:
            self._on_chunk(event.sender, message)

    def _on_advertisement(self, sender: str, message: RulesetAdvertisement) -> None:
        self._advertisements[sender] = ReceivedAdvertisement(message.digest, self._now_ms)
        known = {ruleset.digest for ruleset in self.active()} | {self.unreadable_digest}
        if message.version >= self.current.version and message.digest not in known:
            self._send(sender, RulesetRequest(message.version, message.digest))

    def _on_request(self, sender: str, message: RulesetRequest) -> None:
        for ruleset in self.active():
            if ruleset.digest == message.digest:
                for chunk in split_into_chunks(ruleset):
                    self._send(sender, chunk)
                return

    def _on_chunk(self, sender: str, chunk: RulesetChunk) -> None:
        text = self._assembler.add(sender, chunk)
        if text is None:
            return
        try:
            ruleset = self._parse(text)
            if ruleset.digest != chunk.digest or ruleset.version != chunk.version:
                raise ValueError("its version or digest is not the advertised one")
        except ValueError as error:
            self._on_unreadable(sender, chunk, error)
            return
        self._adopt(ruleset, sender)

    def _on_unreadable(self, sender: str, chunk: RulesetChunk, reason: ValueError) -> None:
        if chunk.version > self.current.version:
            self.unreadable_digest = chunk.digest
            self.generation += 1
        self._report(BookUnreadable("residency", version=chunk.version, peer=sender, reason=reason))

    def _adopt(self, ruleset: Ruleset, sender: str) -> None:
        """Apply a ruleset that is newer, or a different one of the current one's version."""
        known = {active.digest for active in self.active()}
        if ruleset.digest in known or ruleset.version < self.current.version:
            return
        self.generation += 1
        if ruleset.version == self.current.version:
            self.conflicting.append(ruleset)
            self._report(BooksDiffer("residency.version", peer=sender, version=ruleset.version))
            return
        self.superseded += [self.current, *self.conflicting]
        self.current = ruleset
        self.conflicting = []
        self.unreadable_digest = ""

    def _retire_superseded(self) -> None:
        """Once all live members have the current ruleset, those before it apply no more."""
        if not self.superseded or not self._live or self.conflicting:
            return
        if self._all_members_have_current() and self.has_quorum_contact(self._now_ms):
            self.superseded = []
            self.generation += 1

    def _all_members_have_current(self) -> bool:
        digest = self.current.digest
        advertisements = [self._advertisements.get(name) for name in self._live]
        return all(received is not None and received.digest == digest for received in advertisements)
