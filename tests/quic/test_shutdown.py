"""Shutdown of a node while QUIC requests wait for their answers and while connections are in use."""

from __future__ import annotations

from aioquic.quic import events

from puffindeck.core.clock import milliseconds
from puffindeck.interface import ClassSettings, Effect
from puffindeck.net.graceful_shutdown import DrainSchedule, GracefulShutdown
from puffindeck.quic import packets
from puffindeck.quic.flow import USE_TIMEOUT
from tests.support.quic_front_test_case import QuicFrontTestCase
from tests.support.quic_peers import QuicClient

ZERO = milliseconds(0)
IMMEDIATE = DrainSchedule(ZERO, ZERO, ZERO, end=ZERO)
LONG = DrainSchedule(ZERO, ZERO, ZERO, end=milliseconds(60000))


class QuicShutdownTests(QuicFrontTestCase):
    """Every QUIC request that the node has taken gets its final answer before the process ends."""

    def start_shutdown(self, schedule: DrainSchedule) -> GracefulShutdown:
        self.ended: list[int] = []
        self.node.lifecycle.begin_shutdown(schedule, lambda: self.ended.append(1))
        assert self.node.lifecycle.shutdown is not None
        return self.node.lifecycle.shutdown

    async def connect_unanswered(self) -> QuicClient:
        """Connect a client whose server says nothing."""
        for server in self.servers.values():
            server.silent = True
        client = self.connect()
        await self.wait_until(
            lambda: any(server.received for server in self.servers.values()), "the client's first flight"
        )
        return client

    async def rejection(self, client: QuicClient) -> events.ConnectionTerminated:
        """Wait for the end of a client's connection."""
        await self.wait_until(lambda: client.events_of(events.ConnectionTerminated), "an answer")
        (termination,) = client.events_of(events.ConnectionTerminated)
        assert isinstance(termination, events.ConnectionTerminated)
        return termination

    # Guards against a planned restart that drops QUIC requests whose servers answer in time.
    async def test_request_is_served_by_a_server_that_answers_after_the_shutdown_has_begun(self) -> None:
        self.build_quic(deadline=5000.0)
        client = await self.connect_unanswered()
        shutdown = self.start_shutdown(LONG)
        shutdown._check()
        self.assertFalse(self.ended)
        for server in self.servers.values():
            server.silent = False
        await self.wait_until(lambda: client.events_of(events.HandshakeCompleted), "a handshake")
        self.assertFalse(self.ended)
        await self.echo(client, b"one")
        await self.wait_until(lambda: self.ended, "the end of the shutdown")

    # Guards against a planned restart that ends without an answer to QUIC requests.
    async def test_request_without_an_answer_is_rejected_when_the_shutdown_is_overdue(self) -> None:
        self.build_quic(deadline=5000.0)
        client = await self.connect_unanswered()
        self.start_shutdown(IMMEDIATE)._check()
        self.assertTrue(self.ended)
        self.assertEqual((await self.rejection(client)).error_code, packets.CONNECTION_REFUSED)
        self.assertFalse(len(self.front.flows))

    # Guards against a rejection, which permits a repeat, of a request that may have run.
    async def test_request_that_must_not_be_repeated_fails_when_the_shutdown_is_overdue(self) -> None:
        self.build_quic(
            deadline=5000.0, classes=(ClassSettings(300, 1200, effect=Effect.NOT_IDEMPOTENT, name="chat"),)
        )
        client = await self.connect_unanswered()
        self.start_shutdown(IMMEDIATE)._check()
        self.assertEqual((await self.rejection(client)).error_code, packets.INTERNAL_ERROR)

    async def test_idle_connection_does_not_delay_the_end(self) -> None:
        self.build_quic()
        await self.connect_and_echo()
        shutdown = self.start_shutdown(LONG)
        shutdown._check()
        self.assertFalse(self.ended)
        now = self.node.deadlines.clock.now()
        self.assertTrue(all(flow.is_in_use(now) for flow in self.front.flows))
        self.assertFalse(any(flow.is_in_use(now + USE_TIMEOUT) for flow in self.front.flows))
        await self.wait_until(lambda: self.ended, "the end of the shutdown")
