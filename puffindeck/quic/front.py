"""Datagrams between clients and boxes, by connection id, on the same core as the lines of text.

A client's first Initial is a request; the module places it. The box's first valid answer means up. Each
client address of a connection has a flow with a socket of its own towards the box, so the box sees a client
that changes its address do so, and checks the new path itself before it uses it; nobody's answers can be
drawn elsewhere by a forged address, as the old flow stays what it is. Later packets find their flow by
address and id, and else their box by the id alone: a phone that comes from a new network, with an id never
seen here, goes on where it was, also while that box drains and also when another node had it before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol
from twisted.logger import Logger

from puffindeck.config import Quic
from puffindeck.core.clock import ZERO, milliseconds, to_ms
from puffindeck.core.datagram_port import listen_datagrams
from puffindeck.core.engine import Engine
from puffindeck.core.generational_arena import GenerationalArena
from puffindeck.core.requests import AttemptId, Request, UpstreamLink
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ConnectionInfo, Outcome
from puffindeck.quic import packets
from puffindeck.quic.ids import Ids
from puffindeck.quic.packets import Kind, Packet
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.keys import number

log = Logger("puffindeck")

Address = tuple[str, int]

SWEEP = milliseconds(500)
UNPROVEN = milliseconds(3000)  # how long a flow taken over may be without a word from its box
FIRST_FLIGHT = 4  # datagrams of a client's first flight that are kept for another attempt
UNANSWERED = 4  # datagrams: fewer may be acknowledgements, which no answer is due to
IDS = 8  # ids that lead to a flow at once: the client's first, then those its box and it go on to
AMPLIFY = 3  # times the octets that came from an address are sent to it, until it has shown to receive
REPORT = milliseconds(10000)  # how often dropped datagrams are logged


class Upstream(DatagramProtocol):
    """A flow's socket towards a box."""

    noisy = False
    transport: Any = None

    def __init__(self, link: BoxLink, address: Address) -> None:
        self.link, self.address = link, address

    def startProtocol(self) -> None:
        self.transport.connect(*self.address)

    def datagramReceived(self, datagram: bytes, addr: Address) -> None:
        self.link.answered(datagram)

    def connectionRefused(self) -> None:
        """No process has the box's port."""
        self.link.refused()

    def stopProtocol(self) -> None:
        """The reactor closes a socket with an error on it, an ICMP refusal say, and tells nothing more."""
        self.link.refused()


class BoxLink:
    """A flow's way to a box: an attempt first, then what its datagrams pass over."""

    def __init__(self, flow: Flow, ticket: AttemptId, endpoint: int) -> None:
        self.flow, self.ticket, self.endpoint = flow, ticket, endpoint
        self.done = False
        self._port: Any = None

    def open(self, address: Address) -> bool:
        """Bind a socket; False where there is none to be had."""
        front = self.flow.front
        upstream = Upstream(self, address)
        try:
            self._port = listen_datagrams(front.reactor, 0, upstream, "::" if ":" in address[0] else "")
        except CannotListenError as error:
            log.warn(
                "quic: no socket towards {host}: {error}",
                host=front.directory.name(self.endpoint),
                error=error,
            )
            return False
        return True

    def send(self, datagram: bytes) -> None:
        if not self.done and self._port is not None:
            try:
                self._port.write(datagram)
            except OSError as error:  # a full buffer loses a datagram as any network may
                self.flow.front.drop("not sent", error)

    def answered(self, datagram: bytes) -> None:
        if not self.done:
            self.flow.from_box(self, datagram)

    def refused(self) -> None:
        self.finish(Outcome.RESET if self.flow.up else Outcome.CONNECT_FAILED)

    def finish(self, outcome: Outcome) -> None:
        if not self.done:
            self.abandon()
            self.flow.link = None
            if self.flow.up:
                self.flow.end()
            self.flow.front.engine.attempt_ended(self.ticket, outcome)

    def read_available(self) -> None:
        """Nothing waits unread here."""

    def abandon(self) -> None:
        if not self.done:
            self.done = True
            if self._port is not None:
                self._port.stopListening()


class Flow:
    """One connection from one client address."""

    def __init__(self, front: QuicFront, address: Address, first: Packet | None) -> None:
        self.front, self.address, self.first = front, address, first
        self.slot = front.flows.add(self)
        self.request = 0
        self.link: BoxLink | None = None
        self.up = self.proven = False  # its box has answered; its client has shown to receive what is sent
        self._over = False
        self._kept: list[bytes] = []
        self._came = self._went = 0  # octets from and to an address that has not shown to receive any
        self.heard = self.spoke = front.now()  # when the box, and the client, was last heard of
        self.asked, self.unanswered = self.heard, 0  # the client's that no word of the box came after
        self.box: int | None = None  # by whose ids it is found, besides those that it was seen with
        self._answer = b""
        self.ids: list[bytes] = []

    # The engine's client

    def is_waiting(self) -> bool:
        """Is it still there to be served?"""
        return not self._over

    def start_attempt(
        self, ticket: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        link = BoxLink(self, ticket, endpoint)
        address = self.front.directory.addresses.get(endpoint)
        if address is None or not self.front.engine.may_reach(endpoint):
            link.finish(Outcome.CONNECT_FAILED)
            return None
        if not link.open(address):
            link.finish(Outcome.NO_RESOURCE)
            return None
        self.link = link
        for datagram in self._kept:
            link.send(datagram)
        return link

    def on_established(self, link: UpstreamLink) -> None:
        self.up = True
        self.front.reached(self)
        self._to_client(self._answer)
        self._kept, self._answer = [], b""

    def reject(self, wait: timedelta) -> None:
        reason = f"busy, come back in {to_ms(wait):.0f} ms" if wait > ZERO else "busy"
        self._close(packets.REFUSED, reason)

    def fail(self) -> None:
        self._close(packets.INTERNAL, "failed")

    def migrate(self) -> bool:
        """Only an endpoint can tell a QUIC client to move; docs/quic.md says what stands in."""
        return False

    def _close(self, error: int, reason: str) -> None:
        if self.first is not None and not self._over:
            self._to_client(packets.refusal(self.first, error, reason))
        self.end()

    # Datagrams

    def from_client(self, packet: Packet, datagram: bytes) -> None:
        """Pass on what the client sends. Its first flight is kept too, in case another box must be tried."""
        self.spoke = self.front.now()
        if not self.unanswered:
            self.asked = self.spoke
        self.unanswered += 1
        self._came += len(datagram)
        if self.first is None or (packet.to != self.first.to and self.up):
            self.proven = self.proven or self._went > 0  # it uses an id that only what was sent there names
        link = self.link
        if not self.up and self.first is not None:
            if len(self._kept) < FIRST_FLIGHT:
                self._kept.append(datagram)
            if link is not None and not self.front.engine.may_reach(link.endpoint):
                link.finish(Outcome.RESET)  # its drain is older than the grace: nothing more begins there
                return
        if link is not None:
            link.send(datagram)

    def from_box(self, link: BoxLink, datagram: bytes) -> None:
        """Pass on what the box sends. Its first valid answer is what an attempt waits for."""
        self.heard, self.unanswered = self.front.now(), 0
        if self.up:
            self._to_client(datagram)
            return
        packet = packets.read(datagram, self.front.ids.length)
        if self.first is None:  # taken over from its id alone: any word from its box will do
            self.up = True
            self.front.unproven -= 1
            self._to_client(datagram)
        elif packet is None or packet.to != self.first.source or packet.kind in (Kind.SHORT, Kind.UNKNOWN):
            self.front.drop("no answer to what was asked")
        elif packet.kind == Kind.NEGOTIATION:
            link.finish(Outcome.ERROR)
        elif packet.kind == Kind.RETRY:  # the client comes again with the box's token: not up yet
            self.front.name(self, packet.source)
            self._kept = []
            self._to_client(datagram)
        else:
            self.front.name(self, packet.source)
            self._answer = datagram
            if not self.front.engine.attempt_established(link.ticket):
                link.abandon()

    def _to_client(self, datagram: bytes) -> None:
        """An address that has not shown to receive gets no more than a few times what came from it."""
        if not self.proven and self._went + len(datagram) > AMPLIFY * self._came:
            self.front.drop("would amplify")
            return
        self._went += len(datagram)
        self.front.write(datagram, self.address)

    # Its end

    def look(self, now: timedelta) -> None:
        """Has it gone idle, or its box silent?"""
        if not self.up:
            if self.first is None and now - self.spoke > UNPROVEN:
                self._leave(Outcome.RESET)
        elif now - max(self.heard, self.spoke) > self.front.idle:
            self._leave(Outcome.OK)
        elif self.unanswered >= UNANSWERED and self.spoke - self.asked > self.front.silent:
            host = self.front.directory.name(self.link.endpoint) if self.link is not None else "?"
            log.warn("quic: box {host} silent, its flow is dropped", host=host)
            self._leave(Outcome.RESET)

    def _leave(self, outcome: Outcome) -> None:
        link = self.link
        self.end()
        if link is not None:
            link.finish(outcome)

    def end(self) -> None:
        """Forget it; what still comes is found by its id alone."""
        if not self._over:
            self._over = True
            self.front.forget(self)


class QuicFront(DatagramProtocol):
    """The socket that clients send to, and the tables behind it, all of them bounded."""

    noisy = False
    transport: Any = None

    def __init__(
        self,
        reactor: Any,
        told: Quic,
        engine: Engine,
        deadlines: TimerQueue,
        directory: Directory,
        stopping: Callable[[], bool],
    ) -> None:
        self.reactor, self.told, self.engine, self.deadlines = reactor, told, engine, deadlines
        self.directory, self._stopping = directory, stopping
        self.ids = Ids(told.config_id, told.server_id_length, told.nonce_length, told.key)
        self.flows: GenerationalArena[Flow] = GenerationalArena()
        self.idle, self.silent = told.idle, told.silent
        self.dropped: Counter[str] = Counter()
        self._reported = 0
        self._by_id: dict[tuple[Address, bytes], int] = {}
        self._by_box: dict[tuple[Address, int], int] = {}
        self.unproven = 0  # flows taken over whose box has not said a word
        self._boxes = dict(told.boxes)  # server id -> a host's name
        deadlines.after(SWEEP, self._sweep)
        deadlines.after(REPORT, self._report)

    def now(self) -> timedelta:
        return self.deadlines.clock.now()

    def endpoint(self, cid: bytes) -> int | None:
        """The box that a connection id names, if the list has it."""
        octets = self.ids.server(cid)
        if octets is None:
            return None
        uid = self._boxes.get(octets)
        if uid is None:
            return None
        endpoint = self.directory.number(uid)
        return endpoint if endpoint in self.directory.addresses and self.engine.is_listed(endpoint) else None

    def write(self, datagram: bytes, address: Address) -> None:
        try:
            self.transport.write(datagram, address)
        except OSError as error:
            self.drop("not sent", error)

    def drop(self, why: str, error: object = None) -> None:
        """Junk costs a count, never a line each."""
        self.dropped[why] += 1

    def _report(self) -> None:
        total = sum(self.dropped.values())
        if total != self._reported:
            self._reported = total
            counts = ", ".join(f"{why}: {count}" for why, count in sorted(self.dropped.items()))
            log.info(
                "quic: {flows} flows; datagrams dropped since the start: {counts}",
                flows=len(self.flows),
                counts=counts,
            )
        self.deadlines.after(REPORT, self._report)

    def _sweep(self) -> None:
        now = self.now()
        for flow in self.flows:
            flow.look(now)
        self.deadlines.after(SWEEP, self._sweep)

    # Finding the flow

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        address: Address = addr[:2]
        packet = packets.read(datagram, self.ids.length)
        if packet is None:
            self.drop("not QUIC")
            return
        flow = self._find(address, packet)
        if flow is not None:
            flow.from_client(packet, datagram)
        elif packet.kind == Kind.UNKNOWN:
            if len(datagram) >= packets.LEAST_INITIAL:  # one that is shorter than the answer may be forged
                self.write(packets.negotiation(packet), address)
            else:
                self.drop("version not known")
        elif packet.kind == Kind.INITIAL:
            self._initial(address, packet, datagram)
        elif packet.kind in (Kind.SHORT, Kind.HANDSHAKE):
            self._take_over(address, packet, datagram)
        else:
            self.drop("no connection")

    def _find(self, address: Address, packet: Packet) -> Flow | None:
        slot = self._by_id.get((address, packet.to))
        if slot is None and packet.kind in (Kind.SHORT, Kind.HANDSHAKE):
            endpoint = self.endpoint(packet.to)
            slot = self._by_box.get((address, endpoint)) if endpoint is not None else None
            flow = self.flows.get(slot) if slot is not None else None
            if flow is not None:
                self.name(flow, packet.to)
        return self.flows.get(slot) if slot is not None else None

    def _initial(self, address: Address, packet: Packet, datagram: bytes) -> None:
        """A new connection, whatever box its id may name: the module places it."""
        if len(datagram) < packets.LEAST_INITIAL or len(packet.to) < packets.LEAST_FIRST_ID:
            self.drop("no valid Initial")
            return
        if self._stopping() or len(self.flows) >= self.told.connections or self.engine.requests.full():
            self.write(packets.refusal(packet, packets.REFUSED, "busy"), address)
            self.drop("refused: no room")
            return
        flow = Flow(self, address, packet)
        self.name(flow, packet.to)
        flow.from_client(packet, datagram)
        flow.request = self.engine.request(flow, self._asked(address, self.told.deadline))

    def _asked(self, address: Address, left: timedelta) -> Request:
        """The key is the client's host: it comes back to the box that may know it."""
        facts = ConnectionInfo(address[0], address[1], self.told.listen[1], "quic")
        return Request(self.told.cls, number(address[0].encode()), left, facts=facts)

    def _take_over(self, address: Address, packet: Packet, datagram: bytes) -> None:
        """A connection set up at another address, or through another node, with an id that names its box.

        Nothing new begins: the box has the connection, and it may drain. If it does not, it answers with a
        reset or not at all, and the flow is gone soon; so such flows may fill a part of the table only.
        """
        endpoint = self.endpoint(packet.to)
        if endpoint is None:
            self.drop("names no box")
            return
        if len(self.flows) >= self.told.connections or 4 * self.unproven >= self.told.connections:
            self.drop("no room")
            return
        flow = Flow(self, address, None)
        self.unproven += 1
        ticket = self.engine.restore_connection(flow, self._asked(address, ZERO), endpoint)
        flow.request = ticket.request
        link = BoxLink(flow, ticket, endpoint)
        if not link.open(self.directory.addresses[endpoint]):
            flow.end()
            link.finish(Outcome.RESET)
            return
        flow.link = link
        self.engine.set_restored_link(ticket, link)
        self.name(flow, packet.to)
        self.reached(flow)
        flow.from_client(packet, datagram)

    # The tables

    def name(self, flow: Flow, cid: bytes) -> None:
        """Let an id lead to a flow from its address; the oldest of too many is let go."""
        if (flow.address, cid) not in self._by_id:
            flow.ids.append(cid)
            if len(flow.ids) > IDS:
                self._by_id.pop((flow.address, flow.ids.pop(0)), None)
        self._by_id[flow.address, cid] = flow.slot

    def reached(self, flow: Flow) -> None:
        """Further ids of its box from its address lead to it too."""
        if flow.link is not None:
            flow.box = flow.link.endpoint
            self._by_box[flow.address, flow.box] = flow.slot

    def forget(self, flow: Flow) -> None:
        self.flows.drop(flow.slot)
        for cid in flow.ids:
            if self._by_id.get((flow.address, cid)) == flow.slot:
                del self._by_id[flow.address, cid]
        if flow.box is not None and self._by_box.get((flow.address, flow.box)) == flow.slot:
            del self._by_box[flow.address, flow.box]
        if flow.first is None and not flow.up:
            self.unproven -= 1
