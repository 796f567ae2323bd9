"""Attempts: a client that leaves, time that passes or an answer that comes in the moment of their end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.core.requests import AttemptId
from puffindeck.interface import AttemptEnded, ClientDisconnected, ConnectionRestored, Effect, Outcome
from puffindeck.net import upstream_protocol
from puffindeck.net.connection_state import ConnectionState
from puffindeck.net.upstream_connection import UpstreamConnection
from puffindeck.net.upstream_protocol import UpstreamProtocol
from tests.support.node_test_case import REQUEST as ROUTED_REQUEST
from tests.support.node_test_case import NodeTestCase
from tests.support.raw_client_test_case import CHAT, REQUEST, RawClientTestCase


class LeaverStories(RawClientTestCase):
    """Clients that leave, and the reactor has not come to it."""

    def at_connect(self, do: Callable[[], None]) -> Any:
        """Have something happen in the moment in which a host's connection comes up."""
        made = UpstreamProtocol.connectionMade

        def first(line: UpstreamProtocol) -> None:
            do()
            made(line)

        return patch.object(UpstreamProtocol, "connectionMade", first)

    async def test_no_attempt_for_a_client_that_closed_right_behind_its_request(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        plain.sendall(REQUEST.encode() + b"\r\n")
        plain.close()
        await self.wait_until(lambda: line.state is ConnectionState.GONE, "its end")
        self.assertFalse(self.node.connections.upstreams)
        self.assertFalse(self.is_host_reached())
        self.assertEqual(len(self.recorded_events(ClientDisconnected)), 1)

    async def test_no_byte_goes_out_where_the_client_left_while_the_connect_took_its_time(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        with self.at_connect(plain.close):
            plain.sendall(REQUEST.encode() + b"\r\n")
            _, host = await self.accept_attempt()
            await host.ended()
        await self.wait_until(lambda: line.state is ConnectionState.GONE, "its end")
        self.assertEqual(host.received, b"")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.CANCELLED])
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_a_connection_that_comes_up_when_its_request_was_given_up_is_ended_unused(self) -> None:
        self.build()

        def given_up() -> None:
            for link in self.node.connections.upstreams:
                self.node.engine.client_disconnected(link.attempt_id.request)

        with self.at_connect(given_up):
            await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.ended()
        self.assertEqual(host.received, b"")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.CANCELLED])

    async def test_no_further_attempt_for_a_client_that_left_when_the_first_one_failed(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        plain.sendall(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        (link,) = self.node.connections.upstreams
        plain.close()
        link.finish(Outcome.ERROR)  # the host's word, in the turn in which the client's end has come
        await self.wait_until(lambda: line.state is ConnectionState.GONE, "its end")
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_an_attempt_whose_time_is_over_when_its_connection_comes_up_is_not_begun(self) -> None:
        self.build()
        client = await self.client()

        def late() -> None:
            for link in self.node.connections.upstreams:
                link._start_deadline = self.node.deadlines.clock.now()

        with self.at_connect(late):
            client.write(REQUEST.encode() + b"\r\n")
            _, host = await self.accept_attempt()
            await host.ended()
            self.assertEqual(host.received, b"")
            self.assertEqual(self.recorded_events(AttemptEnded)[0].outcome, Outcome.CONNECT_FAILED)

    async def test_a_repeat_begins_within_the_window_or_not_at_all(self) -> None:
        self.build(classes=(replace(CHAT, effect=Effect.IDEMPOTENCY_KEY, window_ms=400.0),))
        client = await self.client(REQUEST)
        uid, host = await self.accept_attempt()
        await host.line()
        begins: list[Any] = []
        connect = UpstreamConnection.connect

        def noted(link: UpstreamConnection, *args: Any) -> None:
            begins.append(link._start_deadline - self.node.deadlines.clock.now())
            connect(link, *args)

        with patch.object(UpstreamConnection, "connect", noted):
            host.transport.abortConnection()
            _, second = await self.accept_attempt(uid)
            await second.line()
        self.assertLess(begins[0], milliseconds(400))
        second.transport.abortConnection()
        self.assertRegex(await client.line(), rb"^BUSY \d+$|^ERR$")  # at once: nothing may be sent any more


class AnswerStories(RawClientTestCase):
    """A host's answer, and its end."""

    async def test_up_that_has_come_when_the_deadline_expires_is_handed_on(self) -> None:
        # timers go before octets: a node that was held up gave up what had been answered in time
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        (line,) = self.node.connections.clients
        host.transport.getHandle().send(b"UP r9\r\n")
        self.node.engine.attempts.expire(AttemptId(line.request, 0))
        self.assertEqual(await client.line(), b"UP r9")
        self.assertIs(line.state, ConnectionState.RELAYING)

    async def test_an_attempt_without_an_answer_ends_with_its_deadline(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        (line,) = self.node.connections.clients
        self.node.engine.attempts.expire(AttemptId(line.request, 0))
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_a_head_that_has_not_left_is_thrown_away(self) -> None:
        made = UpstreamProtocol.connectionMade

        def then(line: UpstreamProtocol) -> None:
            made(line)
            assert isinstance(line.link, UpstreamConnection)
            self.node.engine.client_disconnected(line.link.attempt_id.request)

        self.build()
        with (
            patch.object(upstream_protocol, "flush", lambda transport: None),
            patch.object(UpstreamProtocol, "connectionMade", then),
        ):
            await self.client(REQUEST)
            _, host = await self.accept_attempt()
            await host.ended()
        self.assertEqual(host.received, b"")

    async def test_an_answer_cut_in_the_middle_is_a_failed_attempt(self) -> None:
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

    async def test_an_answer_behind_the_end_of_an_attempt_is_not_heard(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        (link,) = self.node.connections.upstreams
        host.transport.getHandle().send(b"ERR\r\nUP r9\r\n")
        self.assertEqual(await client.line(), b"ERR")
        await client.ended()
        self.assertTrue(client.has_partial_line(b""))
        self.assertTrue(link.is_finished)
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.ERROR])


class RestoreStories(NodeTestCase):
    """Connections from before the run."""

    async def test_a_connection_from_before_the_run_goes_to_its_host_with_any_time(self) -> None:
        # the first day lost all of these: their d is 4294967
        self.build()
        client = await self.client(f"{ROUTED_REQUEST},at=h1".replace("d=1100", "d=4294967"))
        host = await self.hosts["h1"].next()
        await host.line()
        host.transport.abortConnection()  # it is tried again: nobody else has it
        host = await self.hosts["h1"].next()
        await host.line()
        host.write(b"UP r\r\n")
        self.assertEqual(await client.line(), b"UP r")
        self.assertEqual(
            [e.endpoint for e in self.recorded_events(ConnectionRestored)], [self.node.directory.number("h1")]
        )
        host.transport.abortConnection()
        self.assertEqual(await client.ended(), "ConnectionLost")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.RESET])
