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


class Plain:
    """What both share: protocol periods, and members that count as dead until a datagram of theirs arrives."""

    round_ms = 1000.0

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        self.name, self.addresses, self.random = name, addresses, Random(seed)
        self.others = [other for other in addresses if other != name]
        self.dead: set[str] = set()
        self.now = self.next = 0.0
        self.number = 0
        self.actions: list[Any] = []

    def post(self, to: str, body: Any, news: Iterable[MemberUpdate] = ()) -> None:
        self.number += 1
        envelope = Envelope(self.name, 1, 1, self.number, to, int(self.now), body, list(news))
        self.actions.append(SendDatagram(to, self.addresses[to], envelope))

    def verdict(self, name: str, dead: bool) -> None:
        if (name in self.dead) != dead and name != self.name:
            (self.dead.add if dead else self.dead.discard)(name)
            phase = Phase.DEAD if dead else Phase.ALIVE
            self.actions.append(MemberChanged(MemberUpdate(name, phase, 1, 1), None))

    def handle(self, now_ms: float, events: Iterable[Any]) -> list[Any]:
        self.actions, self.now = [], now_ms
        if not self.next:
            self.next = now_ms + self.round_ms * self.random.random()
            self.actions.append(ScheduleTimer(self.next))
        for event in events:
            if isinstance(event, DatagramReceived):
                self.verdict(event.envelope.sender, False)
                self.came(event.envelope)
            elif isinstance(event, TimerFired):
                self.tick()
        return self.actions

    def came(self, envelope: Envelope) -> None:
        """Handle a datagram."""
        raise NotImplementedError

    def tick(self) -> None:
        """Handle the timer."""
        raise NotImplementedError


class Heartbeats(Plain):
    """Each member sends to all others each second; one that is silent for three seconds is dead."""

    patience_ms = 3000.0

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        super().__init__(name, addresses, seed)
        self.heard = dict.fromkeys(self.others, 0.0)

    def came(self, envelope: Envelope) -> None:
        self.heard[envelope.sender] = self.now

    def tick(self) -> None:
        while self.now >= self.next:
            self.next += self.round_ms
        self.actions.append(ScheduleTimer(self.next))
        for other in self.others:
            self.post(other, Gossip())
            if self.now - max(self.heard[other], 1000.0) > self.patience_ms:
                self.verdict(other, True)


class FirstSwim(Plain):
    """Each second one member in turn is pinged, then by three others; without an answer it is dead, by gossip too."""

    wait_ms = 300.0  # for the answer to a direct ping
    helpers = 3  # members that ping indirectly
    riding = 6  # updates on one datagram

    def __init__(self, name: str, addresses: dict[str, str], seed: int) -> None:
        super().__init__(name, addresses, seed)
        self.turn: list[str] = []
        self.target, self.answered, self.asked = "", True, False
        self.news: dict[str, tuple[MemberUpdate, int]] = {}
        self.relays: dict[int, tuple[str, int]] = {}

    def verdict(self, name: str, dead: bool) -> None:
        if (name in self.dead) != dead and name != self.name:
            self.news[name] = MemberUpdate(name, Phase.DEAD if dead else Phase.ALIVE, 1, 1), 12
        super().verdict(name, dead)

    def ride(self) -> list[MemberUpdate]:
        chosen = sorted(self.news.values(), key=lambda item: -item[1])[: self.riding]
        for news, left in chosen:
            if left > 1:
                self.news[news.name] = news, left - 1
            else:
                del self.news[news.name]
        return [news for news, _ in chosen]

    def came(self, envelope: Envelope) -> None:
        for news in envelope.updates:
            self.verdict(news.name, news.phase == Phase.DEAD)
        body = envelope.body
        if isinstance(body, Ping):
            self.post(envelope.sender, Ack(body.probe_number, self.name), self.ride())
        elif isinstance(body, IndirectPingRequest):
            self.number += 1
            self.relays[self.number] = envelope.sender, body.probe_number
            self.post(body.target, Ping(self.number), self.ride())
        elif isinstance(body, Ack):
            asker = self.relays.pop(body.probe_number, None)
            if asker is not None:
                self.post(asker[0], Ack(asker[1], body.member), self.ride())
            elif body.member == self.target:
                self.answered = True

    def tick(self) -> None:
        if not self.answered and not self.asked and self.now < self.next:
            self.asked = True
            others = [o for o in self.others if o != self.target and o not in self.dead]
            for helper in self.random.sample(others, min(self.helpers, len(others))):
                self.post(helper, IndirectPingRequest(0, self.target), self.ride())
        elif self.now >= self.next:
            if not self.answered:
                self.verdict(self.target, True)
            if not self.turn:
                self.turn = self.random.sample(self.others, len(self.others))
            self.target, self.answered, self.asked = self.turn.pop(), False, False
            self.post(self.target, Ping(0), self.ride())
            while self.now >= self.next:
                self.next += self.round_ms
            self.actions.append(ScheduleTimer(self.now + self.wait_ms))
            return
        self.actions.append(ScheduleTimer(self.next))
