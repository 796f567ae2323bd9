"""A client that sends or closes while the node closes its connection, or before the node is ready."""

from __future__ import annotations

import socket
from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.net import client_connection
from puffindeck.net.client import ClientProtocol
from puffindeck.net.connection_state import ConnectionState
from puffindeck.service_discovery.watch import ANSWER_TIMEOUT
from tests.support.node_test_case import NodeTestCase
from tests.support.raw_client_test_case import REQUEST, RawClientTestCase


class ConnectionCloseTests(RawClientTestCase):
    """The node closes a connection without a request while its client sends one."""

    async def test_a_request_received_before_an_idle_connection_times_out_is_served(self) -> None:
        self.build()
        sock, protocol = await self.connect_idle()
        sock.sendall(REQUEST.encode() + b"\r\n")
        protocol._on_timeout()
        self.assertIs(protocol.state, ConnectionState.WAITING)
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r\r\n")
        await self.wait_until(lambda: protocol.state is ConnectionState.RELAYING, "UP")

    async def test_a_request_received_after_the_time_out_is_answered_busy_and_not_forwarded(self) -> None:
        self.build()
        sock, protocol = await self.connect_idle()
        protocol._on_timeout()
        sock.sendall(REQUEST.encode() + b"\r\n")
        text = await self.read_to_end(sock)
        self.assertRegex(text, rb"^PONG\r\nBUSY \d+\r\n$")
        sock.close()
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertFalse(self.is_host_reached())

    async def test_an_evicted_client_is_served_if_its_request_has_arrived_and_else_answered_busy(
        self,
    ) -> None:
        self.build()
        requesting, requesting_protocol = await self.connect_accepted()
        silent, silent_protocol = await self.connect_accepted()
        requesting.sendall(REQUEST.encode() + b"\r\n")
        requesting_protocol.evict()
        silent_protocol.evict()
        self.assertIs(requesting_protocol.state, ConnectionState.WAITING)
        self.assertIs(silent_protocol.state, ConnectionState.CLOSED)  # its descriptor is released at once
        self.assertRegex(await self.read_to_end(silent), rb"^BUSY \d+\r\n$")

    async def test_an_answer_is_sent_completely_if_the_client_is_evicted_in_the_same_turn(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        with patch.object(self.node.admission, "on_answered", lambda client: client.evict()):
            protocol.fail()
        self.assertIs(protocol.state, ConnectionState.CLOSED)
        self.assertEqual(await self.read_to_end(sock), b"ERR\r\n")

    async def test_a_partial_line_at_shutdown_is_answered(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(b"OPEN 9b1f03aa")
        await self.wait_until(lambda: protocol._buffer, "the partial line")
        self.node.lifecycle.is_accepting = False
        protocol.answer_before_stop(True)
        sock.sendall(b"5c7e2d41 7f3a c=chat,d=1100\r\n")
        self.assertRegex(await self.read_to_end(sock), rb"^BUSY \d+\r\n$")
        self.assertFalse(self.is_host_reached())

    async def test_several_lines_in_one_segment_are_one_error_at_shutdown(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall((REQUEST + "\r\n").encode() * 3)
        protocol.answer_before_stop(True)
        self.assertEqual(await self.read_to_end(sock), b"ERR\r\n")
        self.assertFalse(self.is_host_reached())


class ReadinessTests(RawClientTestCase):
    """Clients that send PING before the node is ready."""

    async def connect_with_ping(self) -> tuple[socket.socket, ClientProtocol]:
        sock, protocol = await self.connect_accepted()
        sock.sendall(b"PING\r\n")
        await self.wait_until(lambda: protocol.state is ConnectionState.AWAITING_READINESS, "the PING")
        return sock, protocol

    async def test_each_ping_before_readiness_is_answered(self) -> None:
        self.build()
        watch = await self.accept_watch()
        sock, protocol = await self.connect_with_ping()
        sock.sendall(b"PING\r\n")
        await self.wait_until(lambda: protocol._unanswered_pings == 2, "the second PING")
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: protocol.state is ConnectionState.IDLE, "readiness")
        self.assertEqual(await self.read_exactly(sock, 12), b"PONG\r\nPONG\r\n")

    async def test_a_client_that_waits_for_readiness_can_be_evicted(self) -> None:
        # Counted as served, such clients could use up all descriptors while discovery is down.
        self.build()
        sock, protocol = await self.connect_with_ping()
        self.assertIn(protocol, self.node.admission.waiting)
        protocol.evict()
        self.assertRegex(await self.read_to_end(sock), rb"^BUSY \d+\r\n$")
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertFalse(self.node.lifecycle._waiting)

    async def test_a_client_closed_before_readiness_is_removed(self) -> None:
        self.build()
        sock, protocol = await self.connect_with_ping()
        sock.close()
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertFalse(self.node.lifecycle._waiting)

    async def test_a_request_before_readiness_replaces_the_unanswered_ping(self) -> None:
        self.build()
        watch = await self.accept_watch()
        sock, protocol = await self.connect_with_ping()
        sock.sendall(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        host.write(b"UP r\r\n")
        await self.wait_until(lambda: protocol.state is ConnectionState.RELAYING, "UP")
        self.assertEqual(await self.read_exactly(sock, 6), b"UP r\r\n")

    async def test_a_ping_received_before_the_time_out_keeps_the_connection_open(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(b"PING\r\n")
        protocol._on_timeout()
        self.assertIs(protocol.state, ConnectionState.AWAITING_READINESS)

    async def test_the_node_becomes_ready_if_discovery_does_not_answer(self) -> None:
        self.build()
        sock, protocol = await self.connect_with_ping()
        # Expires the time-out directly; a short one could expire before the PING on a busy machine.
        assert self.node.watch is not None
        timeout = self.node.watch._timeout
        assert timeout is not None
        assert timeout.callback is not None
        self.assertLessEqual(timeout.due, self.node.deadlines.clock.now() + ANSWER_TIMEOUT)
        timeout.callback(*timeout.args)
        await self.wait_until(lambda: protocol.state is ConnectionState.IDLE, "readiness")
        self.assertEqual(await self.read_exactly(sock, 6), b"PONG\r\n")


class MisbehavingClientTests(NodeTestCase):
    """Clients that send nothing, or invalid data at full speed."""

    async def test_a_silent_client_or_one_with_a_partial_line_is_closed_soon(self) -> None:
        # With a time-out of 30 s such clients used up all descriptors: half of a day's requests were lost.
        self.assertLess(client_connection.FIRST_LINE_TIMEOUT, milliseconds(3000))
        self.build()
        with patch.object(client_connection, "FIRST_LINE_TIMEOUT", milliseconds(50)):
            silent = await self.client()
            partial_line = await self.client()
            partial_line.write(b"OPEN 9b1f")
            self.assertEqual(await silent.ended(), "ConnectionDone")
            self.assertEqual(await partial_line.line(), b"ERR")
            self.assertEqual(await partial_line.ended(), "ConnectionDone")
            waiting = await self.client("PING")  # answered once the list is received
            watch = await self.accept_watch()
            self.send_update(watch, 2, False)
            self.assertEqual(await waiting.line(), b"PONG")
            self.assertEqual(await waiting.ended(), "ConnectionDone")

    async def test_a_client_that_keeps_sending_still_gets_its_answer(self) -> None:
        self.build()
        for start in (b"x" * 5000, b"OPEN\r\n", b"OPEN 1 2 c=chat,d=many\r\n"):
            client = await self.client()
            client.write(start + b"y" * 3_000_000)
            self.assertEqual(await client.line(), b"ERR")
            await client.ended()
        await self.wait_until(lambda: not self.node.connections.clients, "all clients to close")
