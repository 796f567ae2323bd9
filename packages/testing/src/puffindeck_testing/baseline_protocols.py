"""Baseline membership protocols for the benchmark of `puffindeck_membership`.

The protocols are all-to-all heartbeats, and SWIM without its later extensions. Both send the messages of
`puffindeck_membership` over the same network as that package. Neither uses connection refusals, a local health
score or suspicions that the suspected member can refute.

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

SENDS_PER_UPDATE = 12  # number of datagrams that carry each update


class BaselineMember:
    """Base of both protocols: acts once per period, and considers a dead member alive once it sends a datagram."""

    period_ms = 1000.0

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        """`addresses` maps the names of all members, including this one, to their addresses."""
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
        """Send a message with membership updates to a member."""
        self.sequence_number += 1
        envelope = Envelope(self.name, 1, 1, self.sequence_number, to, int(self.now), body, list(updates))
        self.actions.append(SendDatagram(to, self.addresses[to], envelope))

    def set_dead(self, name: str, dead: bool) -> None:
        """Declare another member dead or alive, if its state differs."""
        if (name in self.dead) != dead and name != self.name:
            (self.dead.add if dead else self.dead.discard)(name)
            phase = Phase.DEAD if dead else Phase.ALIVE
            self.actions.append(MemberChanged(MemberUpdate(name, phase, 1, 1), None))

    def handle(self, now_ms: float, events: Iterable[Any]) -> list[Any]:
        """Process events, and return the resulting actions."""
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
    """All-to-all heartbeats once per second; a member that sends nothing for three seconds is declared dead."""

    timeout_ms = 3000.0

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        super().__init__(name, addresses, seed)
        self.last_heartbeat = dict.fromkeys(self.other_members, 0.0)

    def on_datagram(self, envelope: Envelope) -> None:
        """Record the sender's heartbeat."""
        self.last_heartbeat[envelope.sender] = self.now

    def on_timer(self) -> None:
        """Send heartbeats, and declare members dead whose last heartbeat is too old."""
        while self.now >= self.next_period:
            self.next_period += self.period_ms
        self.actions.append(ScheduleTimer(self.next_period))
        for other in self.other_members:
            self.send(other, Gossip())
            if self.now - max(self.last_heartbeat[other], 1000.0) > self.timeout_ms:
                self.set_dead(other, True)


class SwimWithoutSuspicion(BaselineMember):
    """SWIM that declares a member dead, without a suspicion first, if no ping of its period is acknowledged.

    Each period pings one member directly and, after a timeout, through other members. Gossip spreads the result.
    """

    ping_timeout_ms = 300.0  # timeout of the direct ping
    indirect_ping_count = 3  # number of members that ping the target indirectly
    updates_per_datagram = 6

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        super().__init__(name, addresses, seed)
        self.round_members: list[str] = []
        self.target = ""  # the member that this period pings
        self.acknowledged = True
        self.indirect_pings_sent = False
        self.updates: dict[str, tuple[MemberUpdate, int]] = {}  # updates by member, with the sends left
        self.relayed_pings: dict[int, tuple[str, int]] = {}  # requester and its probe number, by own probe number

    def set_dead(self, name: str, dead: bool) -> None:
        """Declare another member dead or alive, and gossip the change."""
        if (name in self.dead) != dead and name != self.name:
            self.updates[name] = (
                MemberUpdate(name, Phase.DEAD if dead else Phase.ALIVE, 1, 1),
                SENDS_PER_UPDATE,
            )
        super().set_dead(name, dead)

    def piggybacked_updates(self) -> list[MemberUpdate]:
        """Return the updates for the next datagram: those that were sent least often."""
        chosen = sorted(self.updates.values(), key=lambda item: -item[1])[: self.updates_per_datagram]
        for update, sends_left in chosen:
            if sends_left > 1:
                self.updates[update.name] = update, sends_left - 1
            else:
                del self.updates[update.name]
        return [update for update, _ in chosen]

    def on_datagram(self, envelope: Envelope) -> None:
        """Apply the updates, and acknowledge or relay pings."""
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
            relayed_ping = self.relayed_pings.pop(body.probe_number, None)
            if relayed_ping is not None:
                self.send(relayed_ping[0], Ack(relayed_ping[1], body.member), self.piggybacked_updates())
            elif body.member == self.target:
                self.acknowledged = True

    def on_timer(self) -> None:
        """Ping indirectly after the timeout of the direct ping, and start each period with a direct ping."""
        if not self.acknowledged and not self.indirect_pings_sent and self.now < self.next_period:
            self.indirect_pings_sent = True
            candidates = [other for other in self.other_members if other != self.target and other not in self.dead]
            for relay in self.random.sample(candidates, min(self.indirect_ping_count, len(candidates))):
                self.send(relay, IndirectPingRequest(0, self.target), self.piggybacked_updates())
        elif self.now >= self.next_period:
            if not self.acknowledged:
                self.set_dead(self.target, True)
            if not self.round_members:
                self.round_members = self.random.sample(self.other_members, len(self.other_members))
            self.target = self.round_members.pop()
            self.acknowledged = False
            self.indirect_pings_sent = False
            self.send(self.target, Ping(0), self.piggybacked_updates())
            while self.now >= self.next_period:
                self.next_period += self.period_ms
            self.actions.append(ScheduleTimer(self.now + self.ping_timeout_ms))
            return
        self.actions.append(ScheduleTimer(self.next_period))
