"""A QUIC connection from one client address: its state, and the datagrams in both directions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, Clock, milliseconds, to_ms
from puffindeck.core.engine import Engine
from puffindeck.core.requests import AttemptId, UpstreamLink
from puffindeck.interface import Outcome
from puffindeck.quic import packets
from puffindeck.quic.dropped_datagrams import DroppedDatagrams
from puffindeck.quic.endpoint_link import EndpointLink
from puffindeck.quic.flow_table import Address, FlowTable
from puffindeck.quic.packets import Packet, PacketKind
from puffindeck.service_discovery.directory import Directory

log = Logger("puffindeck")

UNCONFIRMED_TIMEOUT = milliseconds(
    3000
)  # how long a flow taken over may go without a datagram of its endpoint
FIRST_FLIGHT_DATAGRAMS = 4  # of a client's first flight, kept for another attempt
MIN_UNANSWERED_DATAGRAMS = 4  # fewer may be acknowledgements, which no response is due to
AMPLIFICATION_LIMIT = (
    3  # times the octets from an address are sent to it before it is validated (RFC 9000, 8)
)


@dataclass(slots=True, frozen=True)
class FlowContext:
    """What all flows of a front share."""

    reactor: Any
    engine: Engine
    clock: Clock
    directory: Directory
    table: FlowTable[Flow]
    dropped: DroppedDatagrams
    write: Callable[[bytes, Address], None]  # a datagram to a client
    idle_timeout: timedelta
    silent_timeout: timedelta
    short_id_octets: int  # of the ids that endpoints issue


class Flow:
    """One connection from one client address, the engine's client.

    A flow that was taken over by its connection id alone has no Initial packet: it was set up elsewhere.
    """

    def __init__(self, context: FlowContext, address: Address, initial: Packet | None) -> None:
        self.address = address
        self.link: EndpointLink | None = None
        self.established = False
        self.request = 0  # the engine's number
        self._context = context
        self._initial = initial
        self._ended = False
        self._address_validated = False  # the client has shown to receive what is sent to its address
        self._octets_received = 0  # from an address that is not validated
        self._octets_sent = 0  # to an address that is not validated
        self._first_flight: list[bytes] = []
        self._first_response = b""
        now = context.clock.now()
        self._endpoint_heard_at = now
        self._client_heard_at = now
        self._unanswered_since = now
        self._unanswered = 0  # datagrams of the client since the endpoint's last one
        self.slot = context.table.add(self, confirmed=initial is not None)

    # The engine's client

    def is_waiting(self) -> bool:
        """Has the flow not ended?"""
        return not self._ended

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, until: timedelta, begin: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt: send the client's first flight to the endpoint. None if it has ended already."""
        context = self._context
        link = self.new_link(attempt_id, endpoint)
        if endpoint not in context.directory.addresses or not context.engine.may_reach(endpoint):
            link.finish(Outcome.CONNECT_FAILED)
            return None
        if not link.open(context.reactor, context.directory):
            link.finish(Outcome.NO_RESOURCE)
            return None
        self.link = link
        for datagram in self._first_flight:
            link.send(datagram)
        return link

    def new_link(self, attempt_id: AttemptId, endpoint: int) -> EndpointLink:
        """A link to an endpoint, not yet open."""
        return EndpointLink(self, attempt_id, endpoint, self._context.engine, self._context.dropped)

    def on_established(self, link: UpstreamLink) -> None:
        """The endpoint has sent its first valid response: pass it on."""
        self.established = True
        self.index_by_endpoint()
        self._send_to_client(self._first_response)
        self._first_flight = []
        self._first_response = b""

    def reject(self, retry_after: timedelta) -> None:
        """Rejected by the decision module; a retry after `retry_after` does no harm."""
        reason = f"busy, come back in {to_ms(retry_after):.0f} ms" if retry_after > ZERO else "busy"
        self._close(packets.CONNECTION_REFUSED, reason)

    def fail(self) -> None:
        """Given up by the decision module."""
        self._close(packets.INTERNAL_ERROR, "failed")

    def migrate(self) -> bool:
        """Only an endpoint can migrate a QUIC client; docs/quic.md says what stands in."""
        return False

    def _close(self, error: int, reason: str) -> None:
        if self._initial is not None and not self._ended:
            self._send_to_client(packets.connection_close(self._initial, error, reason))
        self.end()

    # Datagrams

    def on_client_datagram(self, packet: Packet, datagram: bytes) -> None:
        """Pass on what the client sends. Its first flight is kept too, in case of a further attempt."""
        self._record_client_datagram(packet, len(datagram))
        link = self.link
        if not self.established and self._initial is not None:
            if len(self._first_flight) < FIRST_FLIGHT_DATAGRAMS:
                self._first_flight.append(datagram)
            if link is not None and not self._context.engine.may_reach(link.endpoint):
                link.finish(Outcome.RESET)  # its drain is older than the grace: nothing more begins there
                return
        if link is not None:
            link.send(datagram)

    def _record_client_datagram(self, packet: Packet, octets: int) -> None:
        self._client_heard_at = self._context.clock.now()
        if not self._unanswered:
            self._unanswered_since = self._client_heard_at
        self._unanswered += 1
        self._octets_received += octets
        initial = self._initial
        uses_later_id = initial is None or (
            packet.destination_id != initial.destination_id and self.established
        )
        if uses_later_id and self._octets_sent > 0:  # the id was learnt from what was sent to the address
            self._address_validated = True

    def on_endpoint_datagram(self, link: EndpointLink, datagram: bytes) -> None:
        """Pass on what the endpoint sends. Its first valid response is what an attempt waits for."""
        self._endpoint_heard_at = self._context.clock.now()
        self._unanswered = 0
        if self.established:
            self._send_to_client(datagram)
        elif self._initial is None:  # taken over from its id alone: any datagram from its endpoint will do
            self.established = True
            self._context.table.confirm(self)
            self._send_to_client(datagram)
        else:
            self._on_first_response(self._initial, link, datagram)

    def _on_first_response(self, initial: Packet, link: EndpointLink, datagram: bytes) -> None:
        context = self._context
        packet = packets.parse_packet(datagram, context.short_id_octets)
        unexpected = (PacketKind.SHORT, PacketKind.UNKNOWN_VERSION)
        if packet is None or packet.destination_id != initial.source_id or packet.kind in unexpected:
            context.dropped.count("no answer to what was asked")
        elif packet.kind == PacketKind.VERSION_NEGOTIATION:
            link.finish(Outcome.ERROR)
        elif packet.kind == PacketKind.RETRY:  # the client comes again with the endpoint's token
            context.table.add_id(self, packet.source_id)
            self._first_flight = []
            self._send_to_client(datagram)
        else:
            context.table.add_id(self, packet.source_id)
            self._first_response = datagram
            if not link.establish():
                link.abandon()

    def _send_to_client(self, datagram: bytes) -> None:
        """An address that is not validated gets no more than a few times the octets that came from it."""
        octets = len(datagram)
        limit = AMPLIFICATION_LIMIT * self._octets_received
        if not self._address_validated and self._octets_sent + octets > limit:
            self._context.dropped.count("would amplify")
            return
        self._octets_sent += octets
        self._context.write(datagram, self.address)

    def index_by_endpoint(self) -> None:
        """Let further ids of the link's endpoint lead to this flow from its address."""
        if self.link is not None:
            self._context.table.set_endpoint(self, self.link.endpoint)

    # Its end

    def check_timeouts(self, now: timedelta) -> None:
        """End the flow if it has gone idle, or its endpoint silent."""
        context = self._context
        if not self.established:
            if self._initial is None and now - self._client_heard_at > UNCONFIRMED_TIMEOUT:
                self._finish(Outcome.RESET)
        elif now - max(self._endpoint_heard_at, self._client_heard_at) > context.idle_timeout:
            self._finish(Outcome.OK)
        elif self._endpoint_is_silent():
            host = context.directory.name(self.link.endpoint) if self.link is not None else "?"
            log.warn("quic: box {host} silent, its flow is dropped", host=host)
            self._finish(Outcome.RESET)

    def _endpoint_is_silent(self) -> bool:
        unanswered_for = self._client_heard_at - self._unanswered_since
        return self._unanswered >= MIN_UNANSWERED_DATAGRAMS and unanswered_for > self._context.silent_timeout

    def _finish(self, outcome: Outcome) -> None:
        link = self.link
        self.end()
        if link is not None:
            link.finish(outcome)

    def on_link_ended(self) -> None:
        """The link is gone; an established flow ends with it, another waits for its next attempt."""
        self.link = None
        if self.established:
            self.end()

    def end(self) -> None:
        """Forget the flow; what still comes is found by its id alone."""
        if not self._ended:
            self._ended = True
            self._context.table.remove(self)
