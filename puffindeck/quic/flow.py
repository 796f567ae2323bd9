"""A QUIC connection from one client address: its state, and the forwarding of its datagrams."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from twisted.logger import Logger

from puffindeck.core.clock import ZERO, Clock, milliseconds, to_ms
from puffindeck.core.engine import Engine
from puffindeck.core.requests import AttemptId, UpstreamLink
from puffindeck.core.sent_request_ids import RequestIdRecorder
from puffindeck.interface import Outcome
from puffindeck.quic import packets
from puffindeck.quic.dropped_datagrams import DroppedDatagrams
from puffindeck.quic.endpoint_link import EndpointLink
from puffindeck.quic.flow_table import Address, FlowTable
from puffindeck.quic.packets import Packet, PacketKind
from puffindeck.service_discovery.directory import Directory

log = Logger("puffindeck")

# A flow that was taken over ends if its client is silent for this time before the endpoint's first datagram.
UNCONFIRMED_TIMEOUT = milliseconds(3000)
# A flow is in use if the client or the endpoint has sent a datagram within this time.
USE_TIMEOUT = milliseconds(1000)
# Maximum number of datagrams of the client's first flight that are stored, to be sent again in each attempt.
FIRST_FLIGHT_DATAGRAMS = 4
# Minimum number of unanswered datagrams after which an endpoint can count as silent. Fewer may all be
# acknowledgements, which the endpoint need not answer.
MIN_UNANSWERED_DATAGRAMS = 4
# An address that is not validated is sent at most this multiple of the octets received from it (RFC 9000, 8).
AMPLIFICATION_LIMIT = 3


@dataclass(slots=True, frozen=True)
class FlowContext:
    """The objects and settings that all flows of a front share."""

    reactor: Any
    engine: Engine
    clock: Clock
    directory: Directory
    table: FlowTable[Flow]
    dropped: DroppedDatagrams
    write: Callable[[bytes, Address], None]  # sends a datagram to a client
    idle_timeout: timedelta
    silent_timeout: timedelta
    short_id_octets: int  # length of the connection ids that endpoints issue


class Flow:
    """One connection from one client address (the engine's `Client`).

    A flow without an Initial packet was taken over by its connection id alone: its connection was established
    from another address or through another node.
    """

    def __init__(
        self,
        context: FlowContext,
        address: Address,
        initial: Packet | None,
        id_recorder: RequestIdRecorder | None = None,
    ) -> None:
        """`id_recorder` records that the request is sent; None for a flow that was taken over."""
        self.address = address
        self.link: EndpointLink | None = None
        self.established = False
        self.request = 0  # the engine's number of the request
        self._context = context
        self._initial = initial
        self._id_recorder = id_recorder
        self._ended = False
        self._address_validated = False  # whether the client has proved that it receives at `address`
        self._octets_received = 0  # from the client's address
        self._octets_sent = 0  # to the client's address
        self._first_flight: list[bytes] = []
        self._first_response = b""
        now = context.clock.now()
        self._endpoint_last_seen_at = now
        self._client_last_seen_at = now
        self._unanswered_since = now
        self._unanswered = 0  # the client's datagrams since the endpoint's last one
        self.slot = context.table.add(self, confirmed=initial is not None)

    def is_unanswered(self) -> bool:
        """Return whether the client's request waits for its final answer."""
        return self._initial is not None and not self.established and not self._ended

    def is_in_use(self, now: timedelta) -> bool:
        """Return whether the client or the endpoint has sent a datagram in the last moments."""
        return now - max(self._endpoint_last_seen_at, self._client_last_seen_at) < USE_TIMEOUT

    # Interface of the engine's client

    def is_waiting(self) -> bool:
        """Return whether the flow still exists."""
        return not self._ended

    def start_attempt(
        self, attempt_id: AttemptId, endpoint: int, answer_deadline: timedelta, start_deadline: timedelta
    ) -> UpstreamLink | None:
        """Start an attempt by sending the client's first flight to the endpoint.

        Returns None if the attempt has already ended and its end was reported.
        """
        context = self._context
        link = self.new_link(attempt_id, endpoint)
        if endpoint not in context.directory.addresses or not context.engine.may_reach(endpoint):
            link.finish(Outcome.CONNECT_FAILED)
            return None
        if not link.open(context.reactor, context.directory):
            link.finish(Outcome.NO_RESOURCE)
            return None
        self.link = link
        if self._id_recorder is not None:
            self._id_recorder.before_send(attempt_id)
        for datagram in self._first_flight:
            link.send(datagram)
        return link

    def new_link(self, attempt_id: AttemptId, endpoint: int) -> EndpointLink:
        """Return a link to an endpoint, which is not open yet."""
        return EndpointLink(self, attempt_id, endpoint, self._context.engine, self._context.dropped)

    def on_established(self, link: UpstreamLink) -> None:
        """Forward the endpoint's first valid response: the request is served through this link."""
        self.established = True
        self.index_by_endpoint()
        self._send_to_client(self._first_response)
        self._first_flight = []
        self._first_response = b""

    def reject(self, retry_after: timedelta) -> None:
        """Close the connection as refused. The client may safely retry after `retry_after`."""
        reason = f"busy, come back in {to_ms(retry_after):.0f} ms" if retry_after > ZERO else "busy"
        self._close(packets.CONNECTION_REFUSED, reason)

    def fail(self) -> None:
        """Close the connection with an internal error, because every attempt has failed."""
        self._close(packets.INTERNAL_ERROR, "failed")

    def migrate(self) -> bool:
        """Return False: only the endpoint can migrate a QUIC client (docs/quic.md)."""
        return False

    def _close(self, error: int, reason: str) -> None:
        if self._initial is not None and not self._ended:
            self._send_to_client(packets.connection_close(self._initial, error, reason))
        self.end()

    # Datagrams

    def on_client_datagram(self, packet: Packet, datagram: bytes) -> None:
        """Forward a datagram of the client. Its first flight is also stored for further attempts."""
        self._record_client_datagram(packet, len(datagram))
        link = self.link
        if not self.established and self._initial is not None:
            if len(self._first_flight) < FIRST_FLIGHT_DATAGRAMS:
                self._first_flight.append(datagram)
            if link is not None and not self._context.engine.may_reach(link.endpoint):
                # The endpoint's drain grace has passed, so no connection may begin there.
                link.finish(Outcome.RESET)
                return
        if link is not None:
            link.send(datagram)

    def _record_client_datagram(self, packet: Packet, octets: int) -> None:
        self._client_last_seen_at = self._context.clock.now()
        if not self._unanswered:
            self._unanswered_since = self._client_last_seen_at
        self._unanswered += 1
        self._octets_received += octets
        initial = self._initial
        uses_later_id = initial is None or (
            packet.destination_id != initial.destination_id and self.established
        )
        if uses_later_id and self._octets_sent > 0:  # the client has read the id in a datagram sent to it
            self._address_validated = True

    def on_endpoint_datagram(self, link: EndpointLink, datagram: bytes) -> None:
        """Forward a datagram of the endpoint. Its first valid response establishes the connection."""
        self._endpoint_last_seen_at = self._context.clock.now()
        self._unanswered = 0
        if self.established:
            self._send_to_client(datagram)
        elif self._initial is None:  # taken over: any datagram from the endpoint confirms the flow
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
        elif packet.kind == PacketKind.RETRY:  # the client sends a new Initial with the endpoint's token
            context.table.add_id(self, packet.source_id)
            self._first_flight = []
            self._send_to_client(datagram)
        else:
            context.table.add_id(self, packet.source_id)
            self._first_response = datagram
            if not link.establish():
                link.abandon()

    def _send_to_client(self, datagram: bytes) -> None:
        """Send a datagram to the client, unless it would exceed the amplification limit of its address."""
        octets = len(datagram)
        limit = AMPLIFICATION_LIMIT * self._octets_received
        if not self._address_validated and self._octets_sent + octets > limit:
            self._context.dropped.count("would amplify")
            return
        self._octets_sent += octets
        self._context.write(datagram, self.address)

    def index_by_endpoint(self) -> None:
        """Index this flow by its endpoint, so that all connection ids of that endpoint find it."""
        if self.link is not None:
            self._context.table.set_endpoint(self, self.link.endpoint)

    # End of the flow

    def check_timeouts(self, now: timedelta) -> None:
        """End the flow if it is idle or unconfirmed for too long, or if its endpoint is silent."""
        context = self._context
        if not self.established:
            if self._initial is None and now - self._client_last_seen_at > UNCONFIRMED_TIMEOUT:
                self._finish(Outcome.RESET)
        elif now - max(self._endpoint_last_seen_at, self._client_last_seen_at) > context.idle_timeout:
            self._finish(Outcome.OK)
        elif self._endpoint_is_silent():
            host = context.directory.name(self.link.endpoint) if self.link is not None else "?"
            log.warn("quic: host {host} is silent; its flow is dropped", host=host)
            self._finish(Outcome.RESET)

    def _endpoint_is_silent(self) -> bool:
        unanswered_for = self._client_last_seen_at - self._unanswered_since
        return self._unanswered >= MIN_UNANSWERED_DATAGRAMS and unanswered_for > self._context.silent_timeout

    def _finish(self, outcome: Outcome) -> None:
        link = self.link
        self.end()
        if link is not None:
            link.finish(outcome)

    def on_link_ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Handle the end of the link. An established flow ends too; any other waits for its next attempt."""
        self.link = None
        if self._id_recorder is not None:
            self._id_recorder.after_attempt(attempt_id, outcome)
        if self.established:
            self.end()

    def end(self) -> None:
        """Remove the flow. Later datagrams are routed by their connection id alone."""
        if not self._ended:
            self._ended = True
            self._context.table.remove(self)
