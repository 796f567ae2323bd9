"""The UDP socket for QUIC clients, whose datagrams are forwarded by connection id.

A client's first Initial is a request, which the decision module places. The endpoint's first valid response
establishes the connection.

Each client address of a connection has a flow with its own socket to the endpoint. The endpoint therefore
sees each change of the client's address and validates the new path before it uses it. A forged source address
cannot redirect responses, because the flow of the old address remains unchanged.

Later packets are matched to a flow by client address and connection id, otherwise to an endpoint by the
connection id alone. A client that arrives from a new network with an unknown id therefore keeps its endpoint,
even if that endpoint drains or another node forwarded the connection before.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from puffindeck.config import QuicConfig
from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.engine import Engine
from puffindeck.core.requests import Request
from puffindeck.core.sent_request_ids import RequestIdRecorder, SentRequestIds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ConnectionInfo, Outcome
from puffindeck.quic import packets
from puffindeck.quic.connection_ids import ConnectionIds
from puffindeck.quic.dropped_datagrams import DroppedDatagrams
from puffindeck.quic.flow import Flow, FlowContext
from puffindeck.quic.flow_table import Address, FlowTable
from puffindeck.quic.packets import Packet, PacketKind
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.keys import key_number

SWEEP_INTERVAL = milliseconds(500)  # interval of the check of all flows for timeouts
REPORT_INTERVAL = milliseconds(10000)  # interval of the log line on dropped datagrams
# Packets of a connection for which an endpoint already has state.
LATER_PACKETS = (PacketKind.SHORT, PacketKind.HANDSHAKE)


class QuicFront(DatagramProtocol):
    """Receives the clients' datagrams, and finds or creates the flow of each."""

    noisy = False
    transport: Any = None

    def __init__(
        self,
        reactor: Any,
        config: QuicConfig,
        engine: Engine,
        deadlines: TimerQueue,
        directory: Directory,
        sent_ids: SentRequestIds,
        stopping: Callable[[], bool],
    ) -> None:
        """`stopping` returns whether the node is shutting down and accepts no new connections."""
        self._config = config
        self._engine = engine
        self._deadlines = deadlines
        self._directory = directory
        self._sent_ids = sent_ids
        self._stopping = stopping
        self._ids = ConnectionIds(config.config_id, config.server_id_length, config.nonce_length, config.key)
        self._host_by_server_id = dict(config.uid_by_server_id)
        self.flows: FlowTable[Flow] = FlowTable(config.max_connections)
        self.dropped = DroppedDatagrams()
        self._context = FlowContext(
            reactor=reactor,
            engine=engine,
            clock=deadlines.clock,
            directory=directory,
            table=self.flows,
            dropped=self.dropped,
            write=self._write,
            idle_timeout=config.idle_timeout,
            silent_timeout=config.silence_timeout,
            short_id_octets=self._ids.length,
        )
        deadlines.after(SWEEP_INTERVAL, self._sweep)
        deadlines.after(REPORT_INTERVAL, self._report)

    def _sweep(self) -> None:
        now = self._deadlines.clock.now()
        for flow in self.flows:
            flow.check_timeouts(now)
        self._deadlines.after(SWEEP_INTERVAL, self._sweep)

    # Shutdown

    def is_drained(self) -> bool:
        """Return whether no request waits for its answer and no flow is in use.

        Clients can't be moved from here. Once their flows have ended, another node forwards their datagrams.
        """
        now = self._deadlines.clock.now()
        return not any(flow.is_unanswered() or flow.is_in_use(now) for flow in self.flows)

    def answer_before_stop(self) -> None:
        """Answer every request that has no answer yet. The decision module chooses the answer."""
        for flow in self.flows:
            if flow.is_unanswered():
                self._engine.abort_request(flow.request)

    def _report(self) -> None:
        self.dropped.report(len(self.flows))
        self._deadlines.after(REPORT_INTERVAL, self._report)

    def _write(self, datagram: bytes, address: Address) -> None:
        try:
            self.transport.write(datagram, address)
        except OSError:
            self.dropped.count("not sent")

    def _endpoint_of(self, connection_id: bytes) -> int | None:
        """Return the endpoint that a connection id encodes; None if the endpoint list does not have it."""
        server_id = self._ids.server_id(connection_id)
        if server_id is None:
            return None
        host = self._host_by_server_id.get(server_id)
        if host is None:
            return None
        endpoint = self._directory.number(host)
        is_listed = endpoint in self._directory.addresses and self._engine.is_listed(endpoint)
        return endpoint if is_listed else None

    # Datagrams from clients

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Pass a datagram to its flow, create a flow for it, or drop it."""
        address: Address = addr[:2]
        packet = packets.parse_packet(datagram, self._ids.length)
        if packet is None:
            self.dropped.count("not QUIC")
            return
        flow = self._find_flow(address, packet)
        if flow is not None:
            flow.on_client_datagram(packet, datagram)
        elif packet.kind == PacketKind.UNKNOWN_VERSION:
            self._negotiate_version(address, packet, datagram)
        elif packet.kind == PacketKind.INITIAL:
            self._begin_flow(address, packet, datagram)
        elif packet.kind in LATER_PACKETS:
            self._take_over(address, packet, datagram)
        else:
            self.dropped.count("no connection")

    def _find_flow(self, address: Address, packet: Packet) -> Flow | None:
        flow = self.flows.find(address, packet.destination_id)
        if flow is not None or packet.kind not in LATER_PACKETS:
            return flow
        endpoint = self._endpoint_of(packet.destination_id)
        if endpoint is None:
            return None
        flow = self.flows.find_by_endpoint(address, endpoint)
        if flow is not None:
            self.flows.add_id(flow, packet.destination_id)
        return flow

    def _negotiate_version(self, address: Address, packet: Packet, datagram: bytes) -> None:
        if len(datagram) >= packets.MIN_INITIAL_OCTETS:  # otherwise a forged datagram could be amplified
            self._write(packets.version_negotiation(packet), address)
        else:
            self.dropped.count("version not known")

    def _begin_flow(self, address: Address, packet: Packet, datagram: bytes) -> None:
        """Begin a connection. The decision module places it, whatever endpoint the client's id encodes."""
        id_octets = len(packet.destination_id)
        if len(datagram) < packets.MIN_INITIAL_OCTETS or id_octets < packets.MIN_FIRST_ID_OCTETS:
            self.dropped.count("no valid Initial")
            return
        if self._stopping() or self.flows.is_full() or self._engine.requests.full():
            self._write(packets.connection_close(packet, packets.CONNECTION_REFUSED, "busy"), address)
            self.dropped.count("refused: no room")
            return
        id = packet.destination_id + packet.source_id
        rules = self._engine.settings.classes[self._config.class_number]
        if self._sent_ids.must_not_run(id, rules):
            self._write(packets.connection_close(packet, packets.INTERNAL_ERROR, "failed"), address)
            self.dropped.count("may have run before")
            return
        recorder = RequestIdRecorder(self._sent_ids, id, rules)
        flow = Flow(self._context, address, packet, recorder)
        self.flows.add_id(flow, packet.destination_id)
        flow.on_client_datagram(packet, datagram)
        flow.request = self._engine.request(flow, self._request(address, self._config.deadline))

    def _request(self, address: Address, time_left: timedelta) -> Request:
        """Return a request. Its key is the client's host, so that the client gets the same endpoint again."""
        info = ConnectionInfo(address[0], address[1], self._config.listen[1], "quic")
        key = key_number(address[0].encode())
        return Request(self._config.class_number, key, time_left, connection_info=info)

    def _take_over(self, address: Address, packet: Packet, datagram: bytes) -> None:
        """Create a flow for a connection established from another address or through another node.

        Its connection id encodes its endpoint, which is used even if it drains, because the connection is not
        new. An endpoint that does not know the connection answers with a reset or not at all, and the flow
        ends soon. Any sender can forge such ids, so these flows may use only a part of the table.
        """
        endpoint = self._endpoint_of(packet.destination_id)
        if endpoint is None:
            self.dropped.count("names no box")
            return
        if self.flows.is_full_for_unconfirmed():
            self.dropped.count("no room")
            return
        flow = Flow(self._context, address, None)
        attempt_id = self._engine.restore_connection(flow, self._request(address, ZERO), endpoint)
        flow.request = attempt_id.request
        link = flow.new_link(attempt_id, endpoint)
        if not link.open(self._context.reactor, self._directory):
            flow.end()
            link.finish(Outcome.RESET)
            return
        flow.link = link
        self._engine.set_restored_link(attempt_id, link)
        self.flows.add_id(flow, packet.destination_id)
        flow.index_by_endpoint()
        flow.on_client_datagram(packet, datagram)
