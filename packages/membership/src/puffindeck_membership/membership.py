"""One member of the fleet: composes the parts of the protocol, handles events and returns actions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random

import msgspec

from puffindeck_membership.anti_entropy import AntiEntropy
from puffindeck_membership.contact import ContactTracker
from puffindeck_membership.datagram_receiver import DatagramReceiver
from puffindeck_membership.datagram_sender import AddressBook, DatagramSender
from puffindeck_membership.dissemination import Dissemination, GossipRounds
from puffindeck_membership.events import (
    Action,
    ConnectionRefused,
    DatagramReceived,
    Event,
    Leave,
    PeersChanged,
    ScheduleTimer,
    SendDatagram,
    TimerFired,
)
from puffindeck_membership.failure_detector import FailureDetector
from puffindeck_membership.gossip_queue import GossipQueue
from puffindeck_membership.local_health import LocalHealth
from puffindeck_membership.local_member import LocalMember
from puffindeck_membership.member_table import Member, MemberTable
from puffindeck_membership.messages import MemberUpdate, Payload, Phase
from puffindeck_membership.probes import MonitoredSubjects, Pinger
from puffindeck_membership.reconnection import Reconnection
from puffindeck_membership.runtime import ActionBuffer, Runtime
from puffindeck_membership.scheduler import Scheduler
from puffindeck_membership.suspicion import SuspicionProtocol
from puffindeck_membership.timing import Timing

MAX_FIRST_PING_DELAY_MS = 50.0  # maximum delay between the start and the first pings of unreachable peers


class Membership:
    """A member of the fleet. It does no I/O and reads no clock.

    `process_incarnation` must be higher than that of any earlier process of this name. `peers` maps the names
    of the configured peers to their addresses. `incarnation` should be higher than any that an earlier
    process has used, if that is known. `initial_updates` describe members that are known at the start. The
    same seed and events give the same actions.
    """

    def __init__(
        self,
        name: str,
        address: str,
        region: str = "",
        *,
        process_incarnation: int,
        peers: dict[str, str] | None = None,
        timing: Timing | None = None,
        seed: int = 0,
        incarnation: int = 1,
        initial_updates: Iterable[MemberUpdate] = (),
    ) -> None:
        timing = timing or Timing()
        self._runtime = Runtime(Scheduler(), Random(seed), timing, ActionBuffer())
        self._local = LocalMember(name, address, region, process_incarnation, incarnation)
        self._health = LocalHealth(timing)
        self._is_started = False
        self.table = MemberTable(name, timing.observers)
        for update in initial_updates:
            if update.name != name:
                self.table.put(update, 0.0)
        self._addresses = AddressBook(peers or {}, self.table)
        self._contacts = ContactTracker(self.table, self._health, self._runtime)
        self._compose()

    def _compose(self) -> None:
        """Create the parts of the protocol and connect them."""
        local = self._local
        table = self.table
        health = self._health
        contacts = self._contacts
        runtime = self._runtime
        queue = GossipQueue()
        sender = DatagramSender(local, self._addresses, queue, runtime)
        pinger = Pinger(local, sender, runtime)
        subjects = MonitoredSubjects(local, table, runtime)
        self._sender = sender
        self._rounds = GossipRounds(table, queue, sender, runtime)
        self._dissemination = Dissemination(local, table, queue, self._rounds, sender, self._addresses, runtime)
        self._suspicions = SuspicionProtocol(
            local, table, health, contacts, subjects, pinger, self._dissemination, sender, runtime
        )
        self._detector = FailureDetector(
            local, table, health, contacts, self._suspicions, subjects, pinger, sender, self._addresses, runtime
        )
        self._reconnection = Reconnection(local, table, pinger, self._addresses, runtime)
        self._anti_entropy = AntiEntropy(local, table, sender, runtime)
        self._receiver = DatagramReceiver(
            local,
            table,
            health,
            contacts,
            self._dissemination,
            self._detector,
            self._suspicions,
            self._anti_entropy,
            sender,
            runtime,
        )

    # Events

    def handle(self, now_ms: float, events: Iterable[Event]) -> list[Action]:
        """Handle events at the time `now_ms`, run the timers that are due, and return the actions."""
        scheduler = self._runtime.scheduler
        self._runtime.actions.take()
        scheduler.now_ms = now_ms
        if not self._is_started:
            self._start()
        elif self._health.record_wakeup(now_ms, scheduler.next_due_ms()):
            self._contacts.discard_evidence()
        for event in events:
            self._handle_event(event)
        scheduler.run_due()
        wakeup_ms = scheduler.request_wakeup()
        if wakeup_ms is not None:
            self._runtime.actions.add(ScheduleTimer(wakeup_ms))
        return self._runtime.actions.take()

    def _handle_event(self, event: Event) -> None:
        match event:
            case DatagramReceived():
                self._receiver.receive(event)
            case ConnectionRefused():
                self._suspicions.connection_refused(event.name)
            case Leave():
                self._dissemination.leave()
            case PeersChanged():
                self._addresses.configure(event.peers)
            case TimerFired():
                self._runtime.scheduler.wakeup_fired()

    def _start(self) -> None:
        """Start all periodic work, each task at a random time within its first interval."""
        self._is_started = True
        self._rounds.start()
        self.table.start_monitoring(self._runtime.now_ms)
        random = self._runtime.random
        timing = self._runtime.timing
        call_later = self._runtime.scheduler.call_later
        call_later(random.random() * MAX_FIRST_PING_DELAY_MS, self._reconnection.run)
        call_later(random.random() * timing.probe_interval_ms, self._detector.probe_next_subject)
        call_later(random.random() * timing.catch_up_interval_ms, self._anti_entropy.run)

    # State

    @property
    def incarnation(self) -> int:
        """The current incarnation of the local member."""
        return self._local.incarnation

    @property
    def excluded_by_peers(self) -> bool:
        """Whether the local member was declared dead and its refutation may not have arrived."""
        return self._local.excluded_by_peers

    @property
    def dropped(self) -> Counter[str]:
        """The number of dropped datagrams by reason."""
        return self._receiver.dropped

    def members(self) -> list[MemberUpdate]:
        """Return all known members and the local one, sorted by name. Suspects have the phase SUSPECT."""
        found = [self._local.update()]
        for member in self.table.members.values():
            is_suspect = member.phase == Phase.ALIVE and self._is_suspect(member)
            update = msgspec.structs.replace(member.update, phase=Phase.SUSPECT) if is_suspect else member.update
            found.append(update)
        return sorted(found, key=lambda update: update.name)

    def _is_suspect(self, member: Member) -> bool:
        if member.suspicions_by_observer:
            return True
        timeout_ms = self._runtime.timing.announce_suspicion_after_ms
        return member.probed_as_suspect and self._contacts.silence_ms(member) >= timeout_ms

    def living(self) -> list[str]:
        """Return the sorted names of all living members, including the local one."""
        return sorted([self._local.name, *self.table.living])

    def clock_offset_ms(self) -> float:
        """Return the milliseconds by which the local clock is ahead of the median of all members' clocks."""
        return self._contacts.clock_offset_ms()

    def send_payload(self, name: str, channel: str, data: bytes) -> list[SendDatagram]:
        """Return the datagrams that send a message of another module to a member.

        The list is empty if the member's address is unknown.
        """
        self._runtime.actions.take()
        self._sender.send(name, Payload(channel, data), piggyback_octets=0)
        return [action for action in self._runtime.actions.take() if isinstance(action, SendDatagram)]
