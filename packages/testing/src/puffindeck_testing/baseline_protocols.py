"""Simpler membership protocols, which the benchmark of `puffindeck_membership` is compared with.

Heartbeats to all members, and SWIM without its later extensions. Both use the same messages on the same network.
Neither uses refusals, a local health score or suspicions that the suspected member can refute.

Source of SWIM: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", 2002.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from puffindeck_membership import (
    DatagramReceived,
    Envelope,
    MemberChanged,
    MemberUpdate,
    Phase,
    ScheduleTimer,
    SendDatagram,
    TimerFired,
)
from puffindeck_membership.messages import Ack, Gossip, IndirectPingRequest, Ping

SENDS_PER_UPDATE = 12  # datagrams that carry an update


class BaselineMember:
    """What both protocols share: periods, and members that count as dead until a datagram of theirs arrives."""

    period_ms = 1000.0

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        """`addresses`: all members' addresses by their names, its own included."""
        self.name = name
        self.addresses = addresses
        self.random = Random(seed)
        self.other_members = [other for other in addresses if other != name]
        self.dead: set[str] = set()
        self.now = 0.0  # ms
        self.next_period = 0.0  # ms
        self.sequence_number = 0
        self.actions: list[Any] = []

    def send(self, to: str, body: Any, updates: Iterable[MemberUpdate] = ()) -> None:
        """Send a message to a member."""
        self.sequence_number += 1
        envelope = Envelope(self.name, 1, 1, self.sequence_number, to, int(self.now), body, list(updates))
        self.actions.append(SendDatagram(to, self.addresses[to], envelope))

    def set_dead(self, name: str, dead: bool) -> None:
        """Declare a member dead or alive, if that is new."""
        if (name in self.dead) != dead and name != self.name:
            (self.dead.add if dead else self.dead.discard)(name)
            phase = Phase.DEAD if dead else Phase.ALIVE
            self.actions.append(MemberChanged(MemberUpdate(name, phase, 1, 1), None))

    def handle(self, now_ms: float, events: Iterable[Any]) -> list[Any]:
        """The actions that follow from events."""
        self.actions = []
        self.now = now_ms
        if not self.next_period:
            self.next_period = now_ms + self.period_ms * self.random.random()
            self.actions.append(ScheduleTimer(self.next_period))
        for event in events:
            if isinstance(event, DatagramReceived):
                self.set_dead(event.envelope.sender, False)
                self.on_datagram(event.envelope)
            elif isinstance(event, TimerFired):
                self.on_timer()
        return self.actions

    def on_datagram(self, envelope: Envelope) -> None:
        """Handle a datagram."""
        raise NotImplementedError

    def on_timer(self) -> None:
        """Handle the timer."""
        raise NotImplementedError


class Heartbeats(BaselineMember):
    """Each member sends to all others each second; one that is silent for three seconds is dead."""

    timeout_ms = 3000.0

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        super().__init__(name, addresses, seed)
        self.last_heartbeat = dict.fromkeys(self.other_members, 0.0)

    def on_datagram(self, envelope: Envelope) -> None:
        """Record the sender's heartbeat."""
        self.last_heartbeat[envelope.sender] = self.now

    def on_timer(self) -> None:
        """Send heartbeats, and declare silent members dead."""
        while self.now >= self.next_period:
            self.next_period += self.period_ms
        self.actions.append(ScheduleTimer(self.next_period))
        for other in self.other_members:
            self.send(other, Gossip())
            if self.now - max(self.last_heartbeat[other], 1000.0) > self.timeout_ms:
                self.set_dead(other, True)


class SwimWithoutSuspicion(BaselineMember):
    """Each second one member in turn is pinged, then by three others; without an answer it is dead, by gossip too."""

    ping_timeout_ms = 300.0  # for the answer to a direct ping
    helpers = 3  # members that ping indirectly
    updates_per_datagram = 6

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        super().__init__(name, addresses, seed)
        self.round_members: list[str] = []
        self.target = ""  # of this period's ping
        self.answered = True
        self.indirect_pings_sent = False
        self.updates: dict[str, tuple[MemberUpdate, int]] = {}
        self.relayed_pings: dict[int, tuple[str, int]] = {}

    def set_dead(self, name: str, dead: bool) -> None:
        """Declare a member dead or alive, and gossip it."""
        if (name in self.dead) != dead and name != self.name:
            self.updates[name] = (
                MemberUpdate(name, Phase.DEAD if dead else Phase.ALIVE, 1, 1),
                SENDS_PER_UPDATE,
            )
        super().set_dead(name, dead)

    def piggybacked_updates(self) -> list[MemberUpdate]:
        """The updates for the next datagram: those that were sent least often."""
        chosen = sorted(self.updates.values(), key=lambda item: -item[1])[: self.updates_per_datagram]
        for update, left in chosen:
            if left > 1:
                self.updates[update.name] = update, left - 1
            else:
                del self.updates[update.name]
        return [update for update, _ in chosen]

    def on_datagram(self, envelope: Envelope) -> None:
        """Apply the updates, and answer or relay pings."""
        for update in envelope.updates:
            self.set_dead(update.name, update.phase == Phase.DEAD)
        body = envelope.body
        if isinstance(body, Ping):
            self.send(envelope.sender, Ack(body.probe_number, self.name), self.piggybacked_updates())
        elif isinstance(body, IndirectPingRequest):
            self.sequence_number += 1
            self.relayed_pings[self.sequence_number] = envelope.sender, body.probe_number
            self.send(body.target, Ping(self.sequence_number), self.piggybacked_updates())
        elif isinstance(body, Ack):
            asker = self.relayed_pings.pop(body.probe_number, None)
            if asker is not None:
                self.send(asker[0], Ack(asker[1], body.member), self.piggybacked_updates())
            elif body.member == self.target:
                self.answered = True

    def on_timer(self) -> None:
        """Ping indirectly after the time-out, and begin a period with a ping."""
        if not self.answered and not self.indirect_pings_sent and self.now < self.next_period:
            self.indirect_pings_sent = True
            candidates = [other for other in self.other_members if other != self.target and other not in self.dead]
            for helper in self.random.sample(candidates, min(self.helpers, len(candidates))):
                self.send(helper, IndirectPingRequest(0, self.target), self.piggybacked_updates())
        elif self.now >= self.next_period:
            if not self.answered:
                self.set_dead(self.target, True)
            if not self.round_members:
                self.round_members = self.random.sample(self.other_members, len(self.other_members))
            self.target = self.round_members.pop()
            self.answered = False
            self.indirect_pings_sent = False
            self.send(self.target, Ping(0), self.piggybacked_updates())
            while self.now >= self.next_period:
                self.next_period += self.period_ms
            self.actions.append(ScheduleTimer(self.now + self.ping_timeout_ms))
            return
        self.actions.append(ScheduleTimer(self.next_period))
