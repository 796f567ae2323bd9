"""A network of members on virtual time, with the faults of a real one, by a seed.

A member is anything with `handle(now_ms, events)`, as `puffindeck_membership.Membership`. Datagrams to a killed
process are refused (its machine answers that nobody listens); a machine that vanished and a paused process answer
nothing, and a paused process handles what arrived meanwhile once it continues.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Protocol

import msgspec

from puffindeck_membership import (
    ConnectionRefused,
    DatagramReceived,
    MemberChanged,
    PayloadReceived,
    ScheduleTimer,
    SendDatagram,
    TimerFired,
)
from puffindeck_testing.virtual_time import VirtualTime

HEADER_OCTETS = 28 + 15  # IP and UDP headers, and the datagram's own frame
RECEIVE_BUFFER = 200  # datagrams that a paused process's socket buffers
encoder = msgspec.msgpack.Encoder()


class Member(Protocol):
    """A member of the network."""

    def handle(self, now_ms: float, events: Any) -> list[Any]:
        """The actions that follow from events. `now_ms`: the member's own clock, in milliseconds."""
        ...


@dataclass(frozen=True)
class Link:
    """One direction between two members. `loss` and `duplication` are probabilities from 0 to 1."""

    loss: float = 0.0
    delay_ms: tuple[float, float] = (0.2, 1.5)  # least and most
    duplication: float = 0.0  # of the datagrams arrive twice
    cut: bool = False


@dataclass
class Host:
    """A process and its machine."""

    name: str
    address: str
    member: Any  # Member, and whatever a test reads of it
    up: bool = True
    vanished: bool = False  # its machine answers nothing
    paused: bool = False
    skew_ms: float = 0.0
    waiting: list[Any] = field(default_factory=list)
    sent: int = 0
    octets: int = 0
    wake_ms: float = float("inf")


class VirtualNetwork:
    """The members, their links, and the queue of events on virtual time (milliseconds)."""

    def __init__(self, seed: int, link: Link | None = None) -> None:
        self.random = Random(seed)
        self.default_link = link or Link()
        self.links: dict[tuple[str, str], Link] = {}
        self.hosts: dict[str, Host] = {}
        self.at_address: dict[str, Host] = {}
        self.changes: list[tuple[float, str, MemberChanged]] = []  # ms, observer, change
        self.other_actions: list[tuple[float, str, Any]] = []  # actions that are no datagram, timer or change
        self.on_payload: Callable[[str, PayloadReceived], None] = lambda name, payload: None
        self._time = VirtualTime()

    # Members

    def add(self, name: str, address: str, member: Member) -> Host:
        """Add a member, or a new process of one, at an address."""
        host = Host(name, address, member)
        self.hosts[name] = self.at_address[address] = host
        self.at(self.now, self._deliver, host)
        return host

    def kill(self, name: str, machine: bool = False) -> None:
        """Kill a member's process; with `machine` its machine vanishes too."""
        self.hosts[name].up, self.hosts[name].vanished = False, machine

    def pause(self, name: str, for_ms: float) -> None:
        """Pause a member's process (SIGSTOP), and continue it after that time (SIGCONT)."""
        self.hosts[name].paused = True
        self.at(self.now + for_ms, self._continue, name)

    def _continue(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        waiting, host.waiting = host.waiting, []
        for event in waiting or [TimerFired()]:
            self._deliver(host, event)

    # Links

    def link(self, one: str, other: str, **changes: Any) -> None:
        """Change fields of the link from one to the other."""
        self.links[one, other] = replace(self.links.get((one, other), self.default_link), **changes)

    def cut(self, one: str, other: str, cut: bool = True, both: bool = False) -> None:
        """Cut the link from one to the other, with `both` in both directions; `cut=False` restores it."""
        self.link(one, other, cut=cut)
        if both:
            self.link(other, one, cut=cut)

    def split(self, *sides: set[str], cut: bool = True) -> None:
        """Partition the network into these sets of members; `cut=False` restores it."""
        for i, side in enumerate(sides):
            for others in sides[i + 1 :]:
                for one in side:
                    for other in others:
                        self.cut(one, other, cut, both=True)

    # Time

    @property
    def now(self) -> float:
        """The present moment of virtual time (ms)."""
        return self._time.now_ms

    def at(self, when: float, act: Callable[..., None], *args: Any) -> None:
        """Call a function at a moment of virtual time (ms)."""
        self._time.schedule(when, act, *args)

    def run(self, until: float) -> None:
        """Advance virtual time up to that moment (ms), and run all events until then."""
        self._time.run(until)

    # Datagrams

    def _deliver(self, host: Host, *events: Any) -> None:
        if not host.up:
            return
        if host.paused:
            if len(host.waiting) < RECEIVE_BUFFER:
                host.waiting += events
            return
        self.apply_actions(host, host.member.handle(self.now + host.skew_ms, events))

    def apply_actions(self, host: Host, actions: list[Any]) -> None:
        """Carry out a member's actions."""
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send(host, action)
            elif isinstance(action, ScheduleTimer):
                when = action.at_ms - host.skew_ms
                if when < host.wake_ms or host.wake_ms <= self.now:
                    host.wake_ms = when
                    self.at(when, self._wake, host, when)
            elif isinstance(action, MemberChanged):
                self.changes.append((self.now, host.name, action))
            elif isinstance(action, PayloadReceived):
                self.on_payload(host.name, action)
            else:
                self.other_actions.append((self.now, host.name, action))

    def _wake(self, host: Host, when: float) -> None:
        if self.hosts.get(host.name) is host and host.wake_ms == when:
            if host.paused:
                if not any(isinstance(event, TimerFired) for event in host.waiting):
                    host.waiting.append(TimerFired())
                return
            host.wake_ms = float("inf")
            self._deliver(host, TimerFired())

    def _send(self, host: Host, datagram: SendDatagram) -> None:
        host.sent += 1
        host.octets += len(encoder.encode(datagram.envelope)) + HEADER_OCTETS
        to = self.at_address.get(datagram.address)
        if to is None:
            return
        link = self.links.get((host.name, to.name), self.default_link)
        if link.cut or self.random.random() < link.loss:
            return
        for _ in range(1 + (self.random.random() < link.duplication)):
            low, high = link.delay_ms
            self.at(self.now + low + (high - low) * self.random.random(), self._arrive, host, to, datagram)

    def _arrive(self, sender: Host, to: Host, datagram: SendDatagram) -> None:
        if to.up:
            self._deliver(to, DatagramReceived(datagram.envelope, sender.address))
        elif datagram.probe and not to.vanished:
            back = self.links.get((to.name, sender.name), self.default_link)
            if not back.cut and self.random.random() >= back.loss:
                self.at(self.now + back.delay_ms[1], self._deliver, sender, ConnectionRefused(datagram.name))
