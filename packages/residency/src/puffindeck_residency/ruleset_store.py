"""The rulesets of one gateway, and their distribution between gateways by version.

A new ruleset applies as soon as it is received. The rulesets that it supersedes apply as well until every live member
has the new one; while several rulesets apply, only what all of them allow is served. A restriction therefore takes
effect immediately, and a relaxation once every live member has it.
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

ADVERTISEMENT_INTERVAL_MS = 500.0  # interval between advertisements of the current ruleset


@dataclass(slots=True)
class LiveMembersUpdated:
    """Event: the set of live members has changed. It excludes this member, and members that are dead or have left."""

    live: frozenset[str]


@dataclass(slots=True, frozen=True)
class ReceivedAdvertisement:
    """The last advertisement of another member."""

    digest: str
    received_ms: float


class RulesetStore:
    """Owns the rulesets of one gateway. Performs no I/O and reads no clock; times are in milliseconds.

    `parse` converts the text of a ruleset received from another member, and raises ValueError with the reason if the
    text is invalid. The current ruleset may be stale unless a majority of the `voters`, including this member if it is
    one, has sent an advertisement within `stale_after_ms`. If `refuse_when_stale` is set, services that have a rule are
    not served while it may be stale.
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
        self.superseded: list[Ruleset] = []  # older rulesets, which apply until all live members have the current one
        self.conflicting: list[Ruleset] = []  # rulesets with the current version but different content
        self.unreadable_digest = ""  # digest of a newer ruleset that cannot be parsed; empty if there is none
        self.generation = 0  # increases with each change of the active rulesets
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
        """Return all rulesets that apply now, the current one first."""
        return (self.current, *self.conflicting, *self.superseded)

    def has_quorum_contact(self, now_ms: float) -> bool:
        """Return whether a majority of the voters has sent an advertisement recently.

        If so, this gateway cannot have missed a newer ruleset. Return False while a newer ruleset is unreadable here.
        """
        if self.unreadable_digest:
            return False
        others = [name for name in self.voters if name != self.name]
        in_contact = sum(self._is_in_contact(name, now_ms) for name in others)
        return 2 * (in_contact + (self.name in self.voters)) > len(self.voters)

    def may_serve(self, now_ms: float) -> bool:
        """Return whether services that have a rule may be served at all."""
        if self.unreadable_digest:
            return False
        return not self.refuse_when_stale or self.has_quorum_contact(now_ms)

    def handle(
        self, now_ms: float, events: Iterable[MessageReceived | LiveMembersUpdated]
    ) -> list[SendMessage | Report]:
        """Process events. Return the messages to send and the errors to report to operators."""
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
        """Apply the ruleset of a reloaded configuration file. A ruleset older than the current one has no effect."""
        self._adopt(ruleset, self.name)

    def _is_in_contact(self, name: str, now_ms: float) -> bool:
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
                raise ValueError("its version or digest differs from the advertised one")
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
        """Apply a ruleset if it is newer than the current one or conflicts with it. `sender` is named in reports."""
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
        """Deactivate the superseded rulesets once all live members have the current one.

        This requires contact with a majority of the voters and no conflicting ruleset.
        """
        if not self.superseded or not self._live or self.conflicting:
            return
        if self._all_members_have_current() and self.has_quorum_contact(self._now_ms):
            self.superseded = []
            self.generation += 1

    def _all_members_have_current(self) -> bool:
        digest = self.current.digest
        advertisements = [self._advertisements.get(name) for name in self._live]
        return all(received is not None and received.digest == digest for received in advertisements)
