"""SWIM's suspicion mechanism: probes suspects, agrees with the other observers, and declares members dead."""

from __future__ import annotations

from functools import partial

import msgspec

from puffindeck_membership.contact import ContactTracker
from puffindeck_membership.datagram_sender import DatagramSender
from puffindeck_membership.dissemination import Dissemination
from puffindeck_membership.local_health import LocalHealth
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import Member, MemberTable, ReceivedSuspicion
from puffindeck_membership.messages import Ack, Phase, Suspicion
from puffindeck_membership.probes import MonitoredSubjects, Pinger
from puffindeck_membership.runtime import Runtime

UNSOLICITED_PROBE_NUMBER = 0  # probe number of an Ack that answers a suspicion
SINGLE_OBSERVER_TIMEOUT_FACTOR = 1.5  # extends the confirmation timeout of an observer that decides alone


class SuspicionProtocol:
    """Decides together with the other observers of a suspect whether it is dead."""

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        health: LocalHealth,
        contacts: ContactTracker,
        subjects: MonitoredSubjects,
        pinger: Pinger,
        dissemination: Dissemination,
        sender: DatagramSender,
        runtime: Runtime,
    ) -> None:
        self._local = local
        self._table = table
        self._health = health
        self._contacts = contacts
        self._subjects = subjects
        self._pinger = pinger
        self._dissemination = dissemination
        self._sender = sender
        self._runtime = runtime

    # Probes of suspects

    def connection_refused(self, name: str) -> None:
        """Handle the refusal of a connection by a member's host.

        The member's process has ended, or is being restarted.
        """
        member = self._table.living.get(name)
        if member is not None and not member.is_refusing:
            member.refused_since_ms = self._runtime.now_ms
            self.probe_suspect(member)

    def probe_suspect(self, member: Member) -> None:
        """Start frequent direct and indirect probes of a member, until it answers or is declared dead."""
        if not member.probed_as_suspect:
            member.probed_as_suspect = True
            self._continue_probing(member.name)

    def _continue_probing(self, name: str) -> None:
        member = self._table.living.get(name)
        if member is None or not member.probed_as_suspect:
            return
        is_refusing = member.is_refusing
        if self._contacts.silence_ms(member) < self._runtime.timing.suspect_after_ms and not is_refusing:
            member.probed_as_suspect = False
            return
        self._pinger.ping(name)
        self._request_indirect_ping(name)
        self._announce(member)
        self._declare_dead_if_confirmed(member)
        timing = self._runtime.timing
        interval_ms = timing.refusal_confirmation_ms if is_refusing else timing.suspect_probe_interval_ms
        self._runtime.scheduler.call_later(interval_ms, partial(self._continue_probing, name))

    def _request_indirect_ping(self, target: str) -> None:
        for intermediary in self._table.random_members(self._runtime.random, 1, excluding=target):
            self._pinger.request_indirect_ping(intermediary, target)

    def _probe_after_suspicion(self, name: str) -> None:
        """Ping a member that another observer suspects. Continue only if the local member suspects the member too."""
        if name in self._table.living:
            self._pinger.ping(name)
            delay_ms = self._runtime.timing.refusal_confirmation_ms
            self._runtime.scheduler.call_later(delay_ms, partial(self._continue_probing, name))

    # Exchange of suspicions

    def _announce(self, member: Member) -> None:
        """Notify the suspect's other observers, and the suspect itself, which may refute.

        Notify no member while the suspect's silence is too short or the local member is isolated. A suspect whose
        host refuses connections is announced immediately, but is not notified itself.
        """
        is_refusing = member.is_refusing
        if not is_refusing:
            timeout_ms = self._runtime.timing.announce_suspicion_after_ms * self._health.timeout_multiplier()
            if self._contacts.silence_ms(member) < timeout_ms or self._is_isolated():
                return
        confirmed = self._suspicion_confirmed(member)
        suspicion = Suspicion(member.name, member.update.incarnation, confirmed, is_refusing)
        for observer in self._table.topology.observers(member.name):
            if observer != self._local.name:
                self._sender.send(observer, suspicion)
        if not is_refusing:
            self._sender.send(member.name, suspicion)

    def receive(self, sender: str, suspicion: Suspicion) -> None:
        """Handle another member's suspicion: refute it with newer state or recent contact, or record it."""
        if suspicion.name == self._local.name:
            self._dissemination.refute(suspicion.incarnation, sender)
            return
        member = self._table.living.get(suspicion.name)
        known = self._table.members.get(suspicion.name)
        if member is None:
            if known is not None:
                self._send_known_state(sender, known)
        elif suspicion.incarnation < member.update.incarnation:
            self._send_known_state(sender, member)
        elif not suspicion.refused and self._contacts.is_recent(member):
            self._sender.send(sender, Ack(UNSOLICITED_PROBE_NUMBER, suspicion.name))
        else:
            self._record(sender, member, suspicion)

    def _send_known_state(self, recipient: str, member: Member) -> None:
        self._sender.send(recipient, Ack(UNSOLICITED_PROBE_NUMBER, self._local.name), updates=[member.update])

    def _record(self, sender: str, member: Member, suspicion: Suspicion) -> None:
        member.suspicions_by_observer[sender] = ReceivedSuspicion(self._runtime.now_ms, suspicion.confirmed)
        if suspicion.name not in self._subjects:
            return
        if not member.probed_as_suspect:
            member.probed_as_suspect = True
            self._runtime.scheduler.call_later(0.0, partial(self._probe_after_suspicion, suspicion.name))
        self._declare_dead_if_confirmed(member)

    # Deaths

    def _is_isolated(self) -> bool:
        return self._health.is_isolated(self._runtime.now_ms, len(self._table.living))

    def _suspicion_confirmed(self, member: Member) -> bool:
        """Return whether the member has been silent, or its host refusing connections, for long enough."""
        if member.is_refusing:
            refusing_ms = self._runtime.now_ms - member.refused_since_ms
            return refusing_ms >= self._runtime.timing.refusal_confirmation_ms
        timeout_ms = self._runtime.timing.confirm_after_ms * self._health.timeout_multiplier()
        return self._contacts.silence_ms(member) >= timeout_ms

    def _declare_dead_if_confirmed(self, member: Member) -> None:
        """Declare a member dead if its suspicion is confirmed and another observer agrees, or none is reachable."""
        if not self._suspicion_confirmed(member):
            return
        if self._is_isolated() and not member.is_refusing:
            return
        if self._another_observer_agrees(member) or self._may_declare_alone(member):
            self._dissemination.publish(msgspec.structs.replace(member.update, phase=Phase.DEAD))

    def _another_observer_agrees(self, member: Member) -> bool:
        now_ms = self._runtime.now_ms
        return any(
            suspicion.confirmed
            and now_ms - suspicion.received_ms < self._runtime.timing.agreement_window_ms
            and observer in self._table.living
            for observer, suspicion in member.suspicions_by_observer.items()
        )

    def _may_declare_alone(self, member: Member) -> bool:
        """Return whether this observer may declare a member dead without the agreement of another observer.

        That requires a longer timeout and no recent contact with the other observers. If the suspect is the only
        other living member, the refusal of connections is sufficient without a longer timeout.
        """
        timing = self._runtime.timing
        living = self._table.living
        now_ms = self._runtime.now_ms
        if member.is_refusing:
            if len(living) == 1:
                return True
            elapsed_ms = now_ms - member.refused_since_ms
            timeout_ms = timing.agreement_window_ms
        else:
            elapsed_ms = self._contacts.silence_ms(member)
            timeout_ms = SINGLE_OBSERVER_TIMEOUT_FACTOR * timing.confirm_after_ms
        observers = [living[name] for name in self._table.topology.observers(member.name) if name in living]
        return elapsed_ms >= timeout_ms and all(
            now_ms - observer.last_contact_ms >= timing.confirm_after_ms / 2 for observer in observers
        )
