"""SWIM's failure detector: pings the monitored members in turn, answers pings, and evaluates the Acks."""

from __future__ import annotations

from puffindeck_membership.contact import ContactTracker
from puffindeck_membership.datagram_sender import AddressBook, DatagramSender
from puffindeck_membership.errors import PeerMisnamed
from puffindeck_membership.local_health import LocalHealth
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import MemberTable
from puffindeck_membership.messages import Ack, Envelope, IndirectPingRequest, Ping
from puffindeck_membership.probes import (
    MonitoredSubjects,
    OutstandingProbe,
    Pinger,
    ProbeRequester,
)
from puffindeck_membership.runtime import Runtime
from puffindeck_membership.suspicion import SuspicionProtocol
from puffindeck_messaging import Report


class FailureDetector:
    """Probes the monitored members at regular intervals and evaluates their Acks."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        health: LocalHealth,
        contacts: ContactTracker,
        suspicions: SuspicionProtocol,
        subjects: MonitoredSubjects,
        pinger: Pinger,
        sender: DatagramSender,
        addresses: AddressBook,
        runtime: Runtime,
    ) -> None:
        self._local = local
        self._table = table
        self._health = health
        self._contacts = contacts
        self._suspicions = suspicions
        self._subjects = subjects
        self._pinger = pinger
        self._sender = sender
        self._addresses = addresses
        self._runtime = runtime

    def probe_next_subject(self) -> None:
        """Ping the next monitored member, probe silent ones as suspects, and schedule the next probe."""
        subjects = self._subjects.refresh()
        if subjects:
            self._pinger.ping(self._subjects.next())
            self._probe_silent_subjects(subjects)
        interval_ms = self._runtime.timing.probe_interval_ms / max(1, len(subjects))
        self._runtime.scheduler.call_later(interval_ms, self.probe_next_subject)

    def _probe_silent_subjects(self, subjects: tuple[str, ...]) -> None:
        for name in subjects:
            member = self._table.living.get(name)
            if member is None:
                continue
            timeout_ms = self._runtime.timing.suspect_after_ms * self._health.timeout_multiplier()
            if self._contacts.silence_ms(member) >= timeout_ms:
                self._suspicions.probe_suspect(member)

    def on_ping(self, envelope: Envelope, ping: Ping) -> None:
        """Answer a ping with an Ack."""
        self._sender.send(envelope.sender, Ack(ping.probe_number, self._local.name))

    def on_indirect_ping_request(self, sender: str, request: IndirectPingRequest) -> None:
        """Ping `request.target` on behalf of a member that receives no answer from the target."""
        requester = ProbeRequester(sender, request.probe_number)
        self._pinger.ping_for(requester, request.target)

    def on_ack(self, envelope: Envelope, ack: Ack) -> None:
        """Evaluate the Ack of a ping, of an indirect ping, or of a suspicion."""
        probe = self._pinger.pop_answered(ack.probe_number)
        if ack.member != envelope.sender:
            self._on_indirect_ack(ack, probe)
        elif probe is not None:
            self._on_direct_ack(envelope, probe)

    def _on_indirect_ack(self, ack: Ack, probe: OutstandingProbe | None) -> None:
        """Handle the Ack of a member that has pinged the suspect or has had recent contact with it."""
        member = self._table.living.get(ack.member)
        if member is None:
            return
        if probe is None or probe.target != ack.member:
            self._contacts.record_recent(member)
        elif probe.sent_ms > member.refused_since_ms:
            self._contacts.record(member)

    def _on_direct_ack(self, envelope: Envelope, probe: OutstandingProbe) -> None:
        if probe.target != envelope.sender:
            where = f"fleet.peers.{probe.target}"
            address = self._addresses.address_of(probe.target)
            self._runtime.actions.add(Report(PeerMisnamed(where, address=address, found=envelope.sender)))
            return
        self._local.excluded_by_peers = False
        self._health.record_success()
        member = self._table.members.get(probe.target)
        if member is not None:
            self._contacts.record_clock(member, probe.sent_ms, envelope.sent_at_ms)
        if probe.requester is not None:
            ack = Ack(probe.requester.probe_number, probe.target)
            self._sender.send(probe.requester.name, ack)
