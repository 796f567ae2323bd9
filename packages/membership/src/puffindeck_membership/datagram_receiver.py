"""Filters received datagrams and dispatches their content to the parts of the protocol."""

from __future__ import annotations

from collections import Counter

from puffindeck_membership.anti_entropy import AntiEntropy
from puffindeck_membership.contact import ContactTracker
from puffindeck_membership.datagram_sender import DatagramSender
from puffindeck_membership.dissemination import Dissemination
from puffindeck_membership.events import DatagramReceived, NameInUse, PayloadReceived
from puffindeck_membership.failure_detector import FailureDetector
from puffindeck_membership.local_health import LocalHealth
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import (
    Ack,
    Envelope,
    IndirectPingRequest,
    NameConflict,
    Payload,
    Phase,
    Ping,
    StateDigest,
    Suspicion,
)
from puffindeck_membership.replay_filter import ReplayFilter
from puffindeck_membership.runtime import Runtime
from puffindeck_membership.suspicion import SuspicionProtocol


class DatagramReceiver:
    """Receives the datagrams of other members. `dropped` is the number of dropped datagrams by reason."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        health: LocalHealth,
        contacts: ContactTracker,
        dissemination: Dissemination,
        detector: FailureDetector,
        suspicions: SuspicionProtocol,
        anti_entropy: AntiEntropy,
        sender: DatagramSender,
        runtime: Runtime,
    ) -> None:
        self._local = local
        self._table = table
        self._health = health
        self._contacts = contacts
        self._dissemination = dissemination
        self._detector = detector
        self._suspicions = suspicions
        self._anti_entropy = anti_entropy
        self._sender = sender
        self._runtime = runtime
        self._replay_filter = ReplayFilter()
        self.dropped: Counter[str] = Counter()

    def receive(self, event: DatagramReceived) -> None:
        """Apply a datagram's member updates, record the contact with its sender, and dispatch its body."""
        envelope = event.envelope
        if envelope.sender == self._local.name:
            self._receive_from_same_name(envelope, event.source)
            return
        if self._replay_filter.is_duplicate(envelope.sender, envelope.process_incarnation, envelope.sequence_number):
            self.dropped["repeated"] += 1
            return
        if self._local.phase == Phase.LEFT:
            return
        self._health.record_received(self._runtime.now_ms)
        for update in envelope.updates:
            self._dissemination.receive(update)
        if self._record_contact(envelope, event.source) and self._is_addressed_here(envelope):
            self._dispatch(envelope)

    def _record_contact(self, envelope: Envelope, source: str) -> bool:
        """Record the contact with the sender. Return False if the sender's process has been superseded."""
        member = self._table.members.get(envelope.sender)
        if member is None:
            return True
        is_same_process = member.update.process_incarnation == envelope.process_incarnation
        if member.update.phase == Phase.ALIVE and is_same_process:
            self._contacts.record_direct(member)
        else:
            self._dissemination.notify_excluded(envelope, source)
        if member.update.process_incarnation > envelope.process_incarnation:
            self.dropped["earlier"] += 1
            return False
        return True

    def _is_addressed_here(self, envelope: Envelope) -> bool:
        """Return whether to process the body.

        A body for another name is ignored, except a ping, whose Ack shows the sender that its address is
        wrong.
        """
        if envelope.recipient in ("", self._local.name):
            return True
        self.dropped["misnamed"] += 1
        return isinstance(envelope.body, Ping)

    def _dispatch(self, envelope: Envelope) -> None:
        match envelope.body:
            case Ping() as ping:
                self._detector.on_ping(envelope, ping)
            case Ack() as ack:
                self._detector.on_ack(envelope, ack)
            case IndirectPingRequest() as request:
                self._detector.on_indirect_ping_request(envelope.sender, request)
            case Suspicion() as suspicion:
                self._suspicions.receive(envelope.sender, suspicion)
            case StateDigest() as digest:
                self._anti_entropy.compare(envelope.sender, digest)
            case Payload() as payload:
                received = PayloadReceived(envelope.sender, payload.channel, payload.data)
                self._runtime.actions.add(received)

    def _receive_from_same_name(self, envelope: Envelope, source: str) -> None:
        """Handle a datagram that has this member's name as its sender.

        Either another process with the same name has sent it, or this process has sent it to itself because
        an address is wrong.
        """
        local = self._local
        if envelope.process_incarnation == local.process_incarnation:
            self.dropped["own"] += 1
            return
        self.dropped["namesake"] += 1
        body = envelope.body
        if isinstance(body, NameConflict) and body.process_incarnation < local.process_incarnation:
            self._runtime.actions.add(NameInUse(body.address))
        elif envelope.process_incarnation > local.process_incarnation:
            self._sender.send("", NameConflict(local.process_incarnation, local.address), address=source)
