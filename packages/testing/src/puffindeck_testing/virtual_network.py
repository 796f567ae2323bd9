"""A simulated network of members on virtual time, with seeded random faults of links, processes and machines.

A member is an object with `handle(now_ms, events)`, such as `puffindeck_membership.Membership`. Probes to a killed
process are refused, because its machine still answers. Datagrams to a machine that is down get no answer. A paused
process buffers the datagrams that arrive, and handles them when it continues.
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

HEADER_OCTETS = 28 + 15  # IP and UDP headers, and the framing inside the datagram
RECEIVE_BUFFER_DATAGRAMS = 200  # capacity of the receive buffer of a paused process
encoder = msgspec.msgpack.Encoder()


class Member(Protocol):
    """A member of the network."""

    def handle(self, now_ms: float, events: Any) -> list[Any]:
        """Process events, and return the resulting actions. `now_ms` is the member's own clock, in milliseconds."""
        ...


@dataclass(frozen=True)
class Link:
    """The faults of one direction between two members. `loss` and `duplication` are probabilities from 0 to 1."""

    loss: float = 0.0
    delay_ms: tuple[float, float] = (0.2, 1.5)  # minimum and maximum
    duplication: float = 0.0
    cut: bool = False


@dataclass
class Host:
    """A member's process and its machine."""

    name: str
    address: str
    member: Any  # a Member; typed as Any because tests read attributes of the concrete class
    up: bool = True  # whether the process is running
    machine_down: bool = False
    paused: bool = False
    skew_ms: float = 0.0  # the member's clock minus virtual time
    buffered_events: list[Any] = field(default_factory=list)  # events that arrived while the process was paused
    sent: int = 0  # number of datagrams
    octets: int = 0  # number of octets sent, with headers
    wake_ms: float = float("inf")  # virtual time of the next timer


class VirtualNetwork:
    """The members, their links, and the queue of events on virtual time (milliseconds)."""

    def __init__(self, seed: int, link: Link | None = None) -> None:
        self.random = Random(seed)
        self.default_link = link or Link()
        self.links: dict[tuple[str, str], Link] = {}
        self.hosts: dict[str, Host] = {}
        self.hosts_by_address: dict[str, Host] = {}
        self.changes: list[tuple[float, str, MemberChanged]] = []  # time (ms), observer, change
        self.other_actions: list[tuple[float, str, Any]] = []  # time (ms), member, action of any other type
        self.on_payload: Callable[[str, PayloadReceived], None] = lambda name, payload: None
        self._time = VirtualTime()

    # Members

    def add(self, name: str, address: str, member: Member) -> Host:
        """Add a member, or a new process of an existing member, at an address."""
        host = Host(name, address, member)
        self.hosts[name] = self.hosts_by_address[address] = host
        self.at(self.now, self._deliver, host)
        return host

    def kill(self, name: str, machine: bool = False) -> None:
        """Kill a member's process. With `machine`, its machine goes down too."""
        self.hosts[name].up, self.hosts[name].machine_down = False, machine

    def pause(self, name: str, for_ms: float) -> None:
        """Pause a member's process (as SIGSTOP does), and continue it after `for_ms` (as SIGCONT does)."""
        self.hosts[name].paused = True
        self.at(self.now + for_ms, self._continue, name)

    def _continue(self, name: str) -> None:
        host = self.hosts[name]
        host.paused = False
        buffered_events, host.buffered_events = host.buffered_events, []
        for event in buffered_events or [TimerFired()]:
            self._deliver(host, event)

    # Links

    def link(self, one: str, other: str, **changes: Any) -> None:
        """Change fields of the `Link` in the direction from one member to the other."""
        self.links[one, other] = replace(self.links.get((one, other), self.default_link), **changes)

    def cut(self, one: str, other: str, cut: bool = True, both: bool = False) -> None:
        """Cut the link from one member to the other, or with `both` in both directions. `cut=False` restores it."""
        self.link(one, other, cut=cut)
        if both:
            self.link(other, one, cut=cut)

    def split(self, *sides: set[str], cut: bool = True) -> None:
        """Cut all links between these sets of members. `cut=False` restores them."""
        for i, side in enumerate(sides):
            for other_side in sides[i + 1 :]:
                for one in side:
                    for other in other_side:
                        self.cut(one, other, cut, both=True)

    # Time

    @property
    def now(self) -> float:
        """The current virtual time (ms)."""
        return self._time.now_ms

    def at(self, when: float, function: Callable[..., None], *args: Any) -> None:
        """Schedule a call of a function at a point of virtual time (ms)."""
        self._time.schedule(when, function, *args)

    def run(self, until: float) -> None:
        """Advance virtual time to `until` (ms), and run all events that are due by then."""
        self._time.run(until)

    # Datagrams

    def _deliver(self, host: Host, *events: Any) -> None:
        if not host.up:
            return
        if host.paused:
            if len(host.buffered_events) < RECEIVE_BUFFER_DATAGRAMS:
                host.buffered_events += events
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
                if not any(isinstance(event, TimerFired) for event in host.buffered_events):
                    host.buffered_events.append(TimerFired())
                return
            host.wake_ms = float("inf")
            self._deliver(host, TimerFired())

    def _send(self, host: Host, datagram: SendDatagram) -> None:
        host.sent += 1
        host.octets += len(encoder.encode(datagram.envelope)) + HEADER_OCTETS
        receiver = self.hosts_by_address.get(datagram.address)
        if receiver is None:
            return
        link = self.links.get((host.name, receiver.name), self.default_link)
        if link.cut or self.random.random() < link.loss:
            return
        for _ in range(1 + (self.random.random() < link.duplication)):
            low, high = link.delay_ms
            self.at(self.now + low + (high - low) * self.random.random(), self._arrive, host, receiver, datagram)

    def _arrive(self, sender: Host, receiver: Host, datagram: SendDatagram) -> None:
        if receiver.up:
            self._deliver(receiver, DatagramReceived(datagram.envelope, sender.address))
        elif datagram.probe and not receiver.machine_down:
            return_link = self.links.get((receiver.name, sender.name), self.default_link)
            if not return_link.cut and self.random.random() >= return_link.loss:
                self.at(self.now + return_link.delay_ms[1], self._deliver, sender, ConnectionRefused(datagram.name))
