"""Graceful shutdown, and events that coincide with its end."""

from __future__ import annotations

import socket
from dataclasses import replace
from unittest.mock import patch

import msgspec

from puffindeck.config import NodeConfig
from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.interface import Effect, Scope
from puffindeck.net import lifecycle, node
from puffindeck.net import node as node_module
from puffindeck.net.client import ClientProtocol
from puffindeck.net.connection_state import ConnectionState
from puffindeck.net.graceful_shutdown import RESTART, UPGRADE, DrainSchedule, GracefulShutdown
from tests.support.node_test_case import REQUEST as ROUTED_REQUEST
from tests.support.node_test_case import SETTINGS, Listener, NodeTestCase, Peer, reactor
from tests.support.raw_client_test_case import REQUEST, RawClientTestCase

IMMEDIATE = DrainSchedule(milliseconds(0), milliseconds(0), milliseconds(0), milliseconds(0))
LONG = DrainSchedule(milliseconds(5000), milliseconds(5000), milliseconds(0), milliseconds(5000))


class ShutdownTests(RawClientTestCase):
    """A node that shuts down."""

    def start_shutdown(self, schedule: DrainSchedule = IMMEDIATE) -> GracefulShutdown:
        done: list[int] = []
        self.node.lifecycle.begin_shutdown(schedule, lambda: done.append(1))
        assert self.node.lifecycle.shutdown is not None
        return self.node.lifecycle.shutdown

    async def move_within_a_line(self) -> tuple[Peer, ClientProtocol, Peer]:
        """Begin a MOVE within a line; return the client, the node's protocol for it, and its host."""
        self.build()
        client, _, host = await self.establish(REQUEST)
        (protocol,) = self.node.connections.clients
        host.write(b"half of a li")
        await self.wait_until(lambda: client.has_partial_line(b"half of a li"), "the partial line")
        self.node.engine.migrate_before_stop(protocol.request)
        return client, protocol, host

    async def test_pending_connections_are_answered_before_the_port_closes(self) -> None:
        self.build()
        self.node.lifecycle.is_accepting = False
        pending = [self.connect_raw() for _ in range(40)]  # more than one turn accepts
        for sock in pending:
            sock.sendall(REQUEST.encode().replace(b"9b1f", b"%04d" % sock.fileno()) + b"\r\n")
        self.assertFalse(self.node.listeners.close_when_empty(False))
        for sock in pending:
            self.assertRegex(await self.read_to_end(sock), rb"^BUSY \d+\r\n$")
            sock.close()
        await self.wait_until(lambda: not self.node.connections.clients, "all clients to close")
        self.assertTrue(self.node.listeners.close_when_empty(False))
        self.assertFalse(self.main_port.connected)

    async def test_a_pending_connection_is_answered_when_the_shutdown_is_overdue(self) -> None:
        self.build()
        sock = self.connect_raw()
        sock.sendall(REQUEST.encode() + b"\r\n")
        self.node.lifecycle.is_accepting = False
        self.start_shutdown()._check()
        self.assertFalse(self.main_port.connected)
        self.assertRegex(await self.read_to_end(sock), rb"^BUSY \d+\r\n$")

    async def test_an_idempotent_request_at_an_unresponsive_host_is_rejected_at_the_end(self) -> None:
        client, host = await self.connect_unanswered()
        self.start_shutdown()._check()
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_the_attempt_is_abandoned_even_if_the_settings_do_not_allow_cancelling(self) -> None:
        client, host = await self.connect_unanswered(settings={"can_cancel": False})
        (link,) = self.node.connections.upstreams
        self.start_shutdown()._check()
        self.assertTrue(link.is_finished)  # the attempt ended at once, not at its deadline
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_a_request_that_is_not_idempotent_and_may_have_run_is_failed_at_the_end(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        self.start_shutdown()._check()
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_a_request_deduplicated_only_within_a_zone_is_failed_at_the_end(self) -> None:
        client, _ = await self.connect_unanswered(
            effect=Effect.IDEMPOTENCY_KEY, scope=Scope.ZONE, window_ms=5000.0
        )
        self.start_shutdown()._check()
        self.assertEqual(await client.line(), b"ERR")

    async def test_a_request_is_answered_at_the_end_although_the_decision_module_fails(self) -> None:
        client, host = await self.connect_unanswered()
        with patch.object(self.node.engine.balancer, "handle", side_effect=ZeroDivisionError):
            self.start_shutdown()._check()
            self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")
        # The module fails at the abort, and at the attempt's end.
        self.assertGreaterEqual(len(self.flushLoggedErrors(ZeroDivisionError)), 2)

    async def test_a_ping_is_answered_busy_if_the_node_stops_before_readiness(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(b"PING\r\n")
        await self.wait_until(lambda: self.node.lifecycle._waiting, "the PING")
        with patch.object(
            node_module,
            "RESTART",
            DrainSchedule(milliseconds(5000), milliseconds(5000), milliseconds(0), milliseconds(5000)),
        ):
            self.node.stop()
        self.assertIs(protocol.state, ConnectionState.IDLE)
        sock.shutdown(socket.SHUT_WR)
        self.assertEqual(await self.read_to_end(sock), b"BUSY\r\n")
        self.shutdown.cancel()

    async def test_no_move_is_written_into_a_line_that_does_not_end_before_the_shutdown_does(self) -> None:
        # The client would read "half of a liMOVE", a line that no host has sent.
        client, protocol, host = await self.move_within_a_line()
        self.assertIs(protocol.state, ConnectionState.MOVING)
        self.start_shutdown()._check()
        self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertTrue(client.has_partial_line(b"half of a li"))
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_no_move_is_written_if_the_host_closes_within_the_line(self) -> None:
        client, _, host = await self.move_within_a_line()
        host.transport.loseConnection()
        self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertTrue(client.has_partial_line(b"half of a li"))

    async def test_a_partial_line_before_a_move_is_not_sent_to_the_client(self) -> None:
        self.build()
        client, _, host = await self.establish(REQUEST)
        (protocol,) = self.node.connections.clients
        host.write(b"whole\r\nhal")
        await self.wait_until(lambda: protocol.relay._line_open, "the partial line")
        protocol.relay.hold_lines()
        host.write(b"f\r\nnext")
        await self.wait_until(lambda: protocol.relay._buffered_start == b"next", "the buffered line")
        self.node.engine.migrate_before_stop(protocol.request)
        self.assertEqual([await client.line() for _ in range(3)], [b"whole", b"half", b"MOVE"])
        self.assertTrue(client.has_partial_line(b""))

    async def test_a_buffered_line_is_sent_when_the_shutdown_is_cancelled(self) -> None:
        self.build()
        client, _, host = await self.establish(REQUEST)
        (protocol,) = self.node.connections.clients
        shutdown = self.start_shutdown(
            DrainSchedule(milliseconds(0), milliseconds(60000), milliseconds(0), milliseconds(60000))
        )
        protocol.relay.hold_lines()
        host.write(b"half")
        await self.wait_until(lambda: protocol.relay._buffered_start, "the partial line")
        shutdown.cancel()
        await self.wait_until(lambda: client.has_partial_line(b"half"), "the partial line at the client")
        host.write(b" a line\r\n")
        self.assertEqual(await client.line(), b"half a line")

    async def test_partial_lines_are_buffered_before_the_scheduled_move(self) -> None:
        self.build()
        await self.establish(REQUEST)
        (protocol,) = self.node.connections.clients
        shutdown = self.start_shutdown(
            DrainSchedule(milliseconds(0), milliseconds(600), milliseconds(0), milliseconds(60000))
        )
        shutdown._plan_moves()
        await self.wait_until(lambda: protocol.state is ConnectionState.HOLDING_LINE, "the buffering")
        shutdown.cancel()
        self.assertIs(protocol.state, ConnectionState.RELAYING)

    async def test_a_second_stop_has_no_effect(self) -> None:
        self.build()
        with patch.object(node_module, "RESTART", LONG):
            self.node.stop()
            first = self.shutdown
            self.node.stop()
        self.assertIs(self.node.lifecycle.shutdown, first)
        first.cancel()

    async def test_a_draining_node_that_is_stopped_ends(self) -> None:
        self.build()
        client, _, host = await self.establish(REQUEST)
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(program, "stop") as stop,
            patch.object(lifecycle, "DRAIN", LONG),
            patch.object(
                node_module,
                "RESTART",
                DrainSchedule(milliseconds(0), milliseconds(0), milliseconds(20), milliseconds(3300)),
            ),
        ):
            self.node.lifecycle.drain()
            drain = self.shutdown
            self.node.stop()
            self.assertTrue(self.shutdown.ends_process)
            self.assertFalse(self.node.lifecycle.undrain())  # a stop can't be cancelled
            self.assertEqual(await client.line(), b"MOVE")
            await host.ended()
            await self.wait_until(lambda: stop.called, "the reactor to be stopped")
        self.assertTrue(all(deadline.callback is None for deadline in drain._pending))

    async def test_a_reload_during_the_shutdown_switches_discovery(self) -> None:
        self.build()
        await self.accept_watch()
        other = Listener()
        self.addCleanup(other.port.stopListening)
        host, port = other.address.split(":")
        with patch.object(node_module, "RESTART", LONG):
            self.node.stop()
        self.node.reload(lambda current: (msgspec.structs.replace(current, discovery=(host, int(port))), []))
        call = await other.next()
        self.assertEqual(await call.line(), b"GET /catalog/members HTTP/1.1")
        self.shutdown.cancel()
        call.transport.abortConnection()
        await call.ended()

    async def test_a_stop_during_the_handover_to_a_newer_process_has_no_effect(self) -> None:
        self.build()
        self.node._shut_down(LONG)  # a newer process that becomes ready causes this call
        first = self.shutdown
        self.node.stop()
        self.assertIs(self.node.lifecycle.shutdown, first)
        first.cancel()

    async def test_a_stop_during_a_reload_ends_the_node_and_the_reload_is_applied(self) -> None:
        self.build()
        await self.accept_watch()
        client, _, host = await self.establish(REQUEST)
        other = Listener()
        self.addCleanup(other.port.stopListening)
        name, port = other.address.split(":")

        def read(current: NodeConfig) -> tuple[NodeConfig, list[str]]:
            self.node.stop()
            return msgspec.structs.replace(current, discovery=(name, int(port))), []

        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(program, "stop") as stop,
            patch.object(
                node_module,
                "RESTART",
                DrainSchedule(milliseconds(0), milliseconds(20), milliseconds(20), milliseconds(3300)),
            ),
        ):
            self.node.reload(read)
            call = await other.next()
            self.assertEqual(await client.line(), b"MOVE")
            await host.ended()
            await self.wait_until(lambda: stop.called, "the reactor to be stopped")
        await call.ended()  # the watch is stopped

    async def test_a_stop_before_the_start_ends_the_node(self) -> None:
        self.build()
        fresh = node_module.Node(reactor, self.node.config, self.node.deadlines.clock)
        with (
            patch.object(fresh, "reactor", wraps=reactor) as program,
            patch.object(program, "stop") as stop,
            patch.object(
                node_module,
                "RESTART",
                DrainSchedule(milliseconds(0), milliseconds(0), milliseconds(0), milliseconds(10)),
            ),
        ):
            fresh.stop()
            await self.wait_until(lambda: stop.called, "the reactor to be stopped")
        self.assertIsNone(fresh.listeners.main)


class MoveTests(NodeTestCase):
    """A node that moves its clients."""

    async def test_a_stop_moves_all_clients_between_lines_and_answers_the_others(self) -> None:
        self.build()
        client, _, host = await self.establish(ROUTED_REQUEST)
        host.write(b"half a ")
        await self.wait_until(lambda: client.buffer, "the partial line")
        slow = await self.client()
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(
                node,
                "RESTART",
                DrainSchedule(milliseconds(200), milliseconds(400), milliseconds(100), milliseconds(3300)),
            ),
            patch.object(program, "stop") as stop,
        ):
            self.node.stop()
            # Requests are still accepted: other nodes may be stopping too, or not be running again yet.
            late, _, _ = await self.establish(ROUTED_REQUEST)
            client.write(b"still here\r\n")
            self.assertEqual(await host.line(), b"still here")
            await self.wait_until(lambda: not self.node.lifecycle.is_accepting, "the end of accepting")
            slow.write(ROUTED_REQUEST.encode() + b"\r\n")
            self.assertRegex(await slow.line(), rb"^BUSY \d+$")
            self.assertEqual(client.end, None)
            self.assertEqual(await late.line(), b"MOVE")
            host.write(b"line\r\nand more\r\n")
            self.assertEqual([await client.line(), await client.line()], [b"half a line", b"MOVE"])
            self.assertEqual(await host.ended(), "ConnectionDone")
            await self.wait_until(lambda: stop.called, "the reactor to be stopped")


def test_all_clients_are_moved_before_the_kill_whatever_the_longest_deadline() -> None:
    for schedule in (RESTART, UPGRADE):
        for longest in (100, 500, 1000, 2000, 3000, 60000):
            kill = milliseconds(min(longest, 3000) + 700)
            shortened = schedule.before_kill(milliseconds(longest))
            assert shortened.end <= kill - milliseconds(400)
            assert ZERO < shortened.first_move + shortened.move_spread < shortened.end
            assert shortened.accept_duration <= shortened.end
        assert schedule.before_kill(milliseconds(3000)) == schedule


class ShortDeadlineTests(NodeTestCase):
    """A node that is stopped while its requests have a deadline of half a second."""

    async def test_a_short_deadline_leaves_less_time_to_move_all_clients(self) -> None:
        chat = replace(SETTINGS.classes[0], deadline_ms=500)
        self.build(classes=(chat,))
        client, _, host = await self.establish(ROUTED_REQUEST.replace("d=1100", "d=450"))
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(program, "stop") as stop,
        ):
            start = self.node.deadlines.clock.now()
            self.node.stop()
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await host.ended(), "ConnectionDone")
            client.transport.loseConnection()
            await self.wait_until(lambda: stop.called, "the reactor to be stopped")
            self.assertLess(self.node.deadlines.clock.now() - start, milliseconds(500 + 700))
