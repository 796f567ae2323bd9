"""Attempts whose end coincides with a client's close, a deadline or a host's answer."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.core.requests import AttemptId
from puffindeck.interface import AttemptEnded, ClientDisconnected, Effect, Outcome
from puffindeck.net import upstream_protocol
from puffindeck.net.connection_state import ConnectionState
from puffindeck.net.upstream_connection import UpstreamConnection
from puffindeck.net.upstream_protocol import UpstreamProtocol
from tests.support.raw_client_test_case import CHAT, REQUEST, RawClientTestCase

UNREAD_INPUT = b"x" * 20_000  # octets that a client sends behind its line


class ClientDisconnectTests(RawClientTestCase):
    """Clients that have closed before the reactor notices."""

    async def test_no_attempt_starts_for_a_client_that_closes_right_after_its_request(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(REQUEST.encode() + b"\r\n")
        sock.close()
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertFalse(self.node.connections.upstreams)
        self.assertFalse(self.is_host_reached())
        self.assertEqual(len(self.recorded_events(ClientDisconnected)), 1)

    async def assert_no_byte_is_sent_if_client_leaves_during_connect(self, unread_input: bytes) -> None:
        """Have a client send `unread_input` and close while a connection to a host comes up."""
        self.build()
        sock, protocol = await self.connect_accepted()

        def send_and_close() -> None:
            sock.sendall(unread_input)
            sock.close()

        with self.at_connect(send_and_close):
            sock.sendall(REQUEST.encode() + b"\r\n")
            _, host = await self.accept_attempt()
            await host.ended()
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertEqual(host.received, b"")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.CANCELLED])
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_no_byte_is_sent_if_the_client_left_during_the_connect(self) -> None:
        await self.assert_no_byte_is_sent_if_client_leaves_during_connect(b"")

    # Guards against an attempt for a client that has closed with input that the node has not read yet.
    async def test_no_byte_is_sent_if_the_client_closed_behind_unread_input(self) -> None:
        await self.assert_no_byte_is_sent_if_client_leaves_during_connect(UNREAD_INPUT)

    # Guards against a retry for a client that has closed with input that the node has not read yet.
    async def test_no_further_attempt_starts_for_a_client_that_closed_behind_unread_input(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        (link,) = self.node.connections.upstreams
        sock.sendall(UNREAD_INPUT)
        sock.close()
        link.finish(Outcome.ERROR)  # the host's answer, before the client's input is read
        self.assertFalse(self.node.connections.upstreams)
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_a_client_that_sends_more_before_its_answer_is_answered_err(self) -> None:
        self.build()
        client = await self.client()

        with self.at_connect(lambda: client.transport.getHandle().sendall(UNREAD_INPUT)):
            client.write(REQUEST.encode() + b"\r\n")
            _, host = await self.accept_attempt()
            await host.ended()
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(host.received, b"")

    async def test_a_connection_established_after_its_request_is_cancelled_is_closed_unused(self) -> None:
        self.build()

        def cancel_requests() -> None:
            for link in self.node.connections.upstreams:
                self.node.engine.client_disconnected(link.attempt_id.request)

        with self.at_connect(cancel_requests):
            await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.ended()
        self.assertEqual(host.received, b"")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.CANCELLED])

    async def test_no_further_attempt_starts_for_a_client_that_left_when_the_first_one_failed(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        (link,) = self.node.connections.upstreams
        sock.close()
        link.finish(Outcome.ERROR)  # the host's answer, in the turn in which the client closes
        await self.wait_until(lambda: protocol.state is ConnectionState.CLOSED, "the client's close")
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_an_attempt_past_its_start_deadline_when_connected_is_not_started(self) -> None:
        self.build()
        client = await self.client()

        def expire_start_deadline() -> None:
            for link in self.node.connections.upstreams:
                link._start_deadline = self.node.deadlines.clock.now()

        with self.at_connect(expire_start_deadline):
            client.write(REQUEST.encode() + b"\r\n")
            _, host = await self.accept_attempt()
            await host.ended()
            self.assertEqual(host.received, b"")
            self.assertEqual(self.recorded_events(AttemptEnded)[0].outcome, Outcome.CONNECT_FAILED)

    async def test_a_retry_starts_within_the_idempotency_window_or_not_at_all(self) -> None:
        self.build(classes=(replace(CHAT, effect=Effect.IDEMPOTENCY_KEY, window_ms=400.0),))
        client = await self.client(REQUEST)
        uid, host = await self.accept_attempt()
        await host.line()
        times_to_start: list[Any] = []
        connect = UpstreamConnection.connect

        def record_and_connect(link: UpstreamConnection, *args: Any) -> None:
            times_to_start.append(link._start_deadline - self.node.deadlines.clock.now())
            connect(link, *args)

        with patch.object(UpstreamConnection, "connect", record_and_connect):
            host.transport.abortConnection()
            _, second = await self.accept_attempt(uid)
            await second.line()
        self.assertLess(times_to_start[0], milliseconds(400))
        second.transport.abortConnection()
        # The answer comes at once, because no further attempt is allowed.
        self.assertRegex(await client.line(), rb"^BUSY \d+$|^ERR$")


class HostAnswerTests(RawClientTestCase):
    """A host's answer, and the end of its attempt."""

    async def test_up_received_before_the_deadline_expires_is_forwarded(self) -> None:
        # The reactor runs timers before reads. A node that was held up must not time out a received answer.
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        (protocol,) = self.node.connections.clients
        host.transport.getHandle().send(b"UP r9\r\n")
        self.node.engine.attempts.expire(AttemptId(protocol.request, 0))
        self.assertEqual(await client.line(), b"UP r9")
        self.assertIs(protocol.state, ConnectionState.RELAYING)

    async def test_an_attempt_without_an_answer_ends_at_its_deadline(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        (protocol,) = self.node.connections.clients
        self.node.engine.attempts.expire(AttemptId(protocol.request, 0))
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_a_head_that_is_not_sent_is_discarded(self) -> None:
        connection_made = UpstreamProtocol.connectionMade

        def cancel_after(protocol: UpstreamProtocol) -> None:
            connection_made(protocol)
            assert isinstance(protocol.link, UpstreamConnection)
            self.node.engine.client_disconnected(protocol.link.attempt_id.request)

        self.build()
        with (
            patch.object(upstream_protocol, "flush", lambda transport: None),
            patch.object(UpstreamProtocol, "connectionMade", cancel_after),
        ):
            await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.ended()
        self.assertEqual(host.received, b"")

    async def test_a_truncated_answer_is_a_failed_attempt(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        host.write(b"UP r")
        host.transport.loseConnection()
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.RESET])

    async def test_an_answer_that_never_ends_is_a_failed_attempt(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        host.write(b"UP " + b"r" * 5000)
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.ERROR])
        await host.ended()

    async def test_an_answer_after_the_end_of_an_attempt_is_ignored(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        (link,) = self.node.connections.upstreams
        host.transport.getHandle().send(b"ERR\r\nUP r9\r\n")
        self.assertEqual(await client.line(), b"ERR")
        await client.ended()
        self.assertTrue(client.has_partial_line(b""))
        self.assertTrue(link.is_finished)
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.ERROR])
