"""A node that ends, and what falls into its last moments."""

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

OVER_NOW = DrainSchedule(milliseconds(0), milliseconds(0), milliseconds(0), milliseconds(0))
LONG = DrainSchedule(milliseconds(5000), milliseconds(5000), milliseconds(0), milliseconds(5000))


class StopStories(RawClientTestCase):
    """A node that ends."""

    def leaving(self, pace: DrainSchedule = OVER_NOW) -> GracefulShutdown:
        done: list[int] = []
        self.node.lifecycle.begin_shutdown(pace, lambda: done.append(1))
        assert self.node.lifecycle.shutdown is not None
        return self.node.lifecycle.shutdown

    async def moving_with_half_a_line(self) -> tuple[Peer, ClientProtocol, Peer]:
        """A client that is to move and has half a line, the node's side of it, and its host."""
        self.build()
        client, _, host = await self.establish(REQUEST)
        (line,) = self.node.connections.clients
        host.write(b"half of a li")
        await self.wait_until(lambda: client.has_partial_line(b"half of a li"), "the half")
        self.node.engine.migrate_before_stop(line.request)
        return client, line, host

    async def test_who_waits_at_the_port_is_answered_before_it_closes(self) -> None:
        self.build()
        self.node.lifecycle.is_accepting = False
        waiting = [self.connect_raw() for _ in range(40)]  # more than one turn accepts
        for plain in waiting:
            plain.sendall(REQUEST.encode().replace(b"9b1f", b"%04d" % plain.fileno()) + b"\r\n")
        self.assertFalse(self.node.listeners.close_when_empty(False))
        for plain in waiting:
            self.assertRegex(await self.read_to_end(plain), rb"^BUSY \d+\r\n$")
            plain.close()
        await self.wait_until(lambda: not self.node.connections.clients, "their ends")
        self.assertTrue(self.node.listeners.close_when_empty(False))
        self.assertFalse(self.main_port.connected)

    async def test_who_waits_at_the_port_when_time_is_up_is_answered_too(self) -> None:
        self.build()
        plain = self.connect_raw()
        plain.sendall(REQUEST.encode() + b"\r\n")
        self.node.lifecycle.is_accepting = False
        self.leaving()._check()
        self.assertFalse(self.main_port.connected)
        self.assertRegex(await self.read_to_end(plain), rb"^BUSY \d+\r\n$")

    async def test_a_request_at_a_hung_host_is_refused_at_the_end_where_that_is_harmless(self) -> None:
        client, host = await self.connect_unanswered()
        self.leaving()._check()
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_its_attempt_is_given_up_too_where_the_settings_know_no_cancelling(self) -> None:
        client, host = await self.connect_unanswered(told={"can_cancel": False})
        (link,) = self.node.connections.upstreams
        self.leaving()._check()
        self.assertTrue(link.is_finished)  # at once, not with its deadline
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_one_that_may_have_run_and_must_not_run_twice_is_failed_at_the_end(self) -> None:
        client, host = await self.connect_unanswered(effect=Effect.NOT_IDEMPOTENT)
        self.leaving()._check()
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_one_whose_repeats_only_a_zone_discards_is_failed_at_the_end(self) -> None:
        client, _ = await self.connect_unanswered(
            effect=Effect.IDEMPOTENCY_KEY, scope=Scope.ZONE, window_ms=5000.0
        )
        self.leaving()._check()
        self.assertEqual(await client.line(), b"ERR")

    async def test_a_request_is_answered_at_the_end_though_the_module_fails(self) -> None:
        client, host = await self.connect_unanswered()
        with patch.object(self.node.engine.balancer, "handle", side_effect=ZeroDivisionError):
            self.leaving()._check()
            self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertGreaterEqual(len(self.flushLoggedErrors(ZeroDivisionError)), 2)  # the word, and its end

    async def test_who_asks_whether_it_is_ready_is_told_no_when_it_ends_before_that(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        plain.sendall(b"PING\r\n")
        await self.wait_until(lambda: self.node.lifecycle._waiting, "the question")
        with patch.object(
            node_module,
            "RESTART",
            DrainSchedule(milliseconds(5000), milliseconds(5000), milliseconds(0), milliseconds(5000)),
        ):
            self.node.stop()
        self.assertIs(line.state, ConnectionState.IDLE)
        plain.shutdown(socket.SHUT_WR)
        self.assertEqual(await self.read_to_end(plain), b"BUSY\r\n")
        self.shutdown.cancel()

    async def test_a_line_that_does_not_end_before_the_end_gets_no_move_into_it(self) -> None:
        # "half of a liMOVE" is a line that no host has sent
        client, line, host = await self.moving_with_half_a_line()
        self.assertIs(line.state, ConnectionState.MOVING)
        self.leaving()._check()
        self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertTrue(client.has_partial_line(b"half of a li"))
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_a_host_that_ends_in_the_middle_of_the_line_before_a_move(self) -> None:
        client, _, host = await self.moving_with_half_a_line()
        host.transport.loseConnection()
        self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertTrue(client.has_partial_line(b"half of a li"))

    async def test_a_line_that_begins_before_a_move_is_not_begun_at_the_client(self) -> None:
        self.build()
        client, _, host = await self.establish(REQUEST)
        (line,) = self.node.connections.clients
        host.write(b"whole\r\nhal")
        await self.wait_until(lambda: line.relay._line_open, "the half")
        line.relay.hold_lines()
        host.write(b"f\r\nnext")
        await self.wait_until(lambda: line.relay._buffered_start == b"next", "the next")
        self.node.engine.migrate_before_stop(line.request)
        self.assertEqual([await client.line() for _ in range(3)], [b"whole", b"half", b"MOVE"])
        self.assertTrue(client.has_partial_line(b""))

    async def test_a_line_held_back_passes_when_nobody_is_moved_after_all(self) -> None:
        self.build()
        client, _, host = await self.establish(REQUEST)
        (line,) = self.node.connections.clients
        leaving = self.leaving(
            DrainSchedule(milliseconds(0), milliseconds(60000), milliseconds(0), milliseconds(60000))
        )
        line.relay.hold_lines()
        host.write(b"half")
        await self.wait_until(lambda: line.relay._buffered_start, "the half")
        leaving.cancel()
        await self.wait_until(lambda: client.has_partial_line(b"half"), "the half at the client")
        host.write(b" a line\r\n")
        self.assertEqual(await client.line(), b"half a line")

    async def test_moves_are_held_for_in_time(self) -> None:
        self.build()
        await self.establish(REQUEST)
        (line,) = self.node.connections.clients
        leaving = self.leaving(
            DrainSchedule(milliseconds(0), milliseconds(600), milliseconds(0), milliseconds(60000))
        )
        leaving._plan_moves()
        await self.wait_until(lambda: line.state is ConnectionState.HOLDING_LINE, "the hold")
        leaving.cancel()
        self.assertIs(line.state, ConnectionState.RELAYING)

    async def test_a_second_stop_changes_nothing(self) -> None:
        self.build()
        with patch.object(node_module, "RESTART", LONG):
            self.node.stop()
            first = self.shutdown
            self.node.stop()
        self.assertIs(self.node.lifecycle.shutdown, first)
        first.cancel()

    async def test_a_lame_duck_that_is_stopped_ends(self) -> None:
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
            lame = self.shutdown
            self.node.stop()
            self.assertTrue(self.shutdown.ends_process)
            self.assertFalse(self.node.lifecycle.undrain())  # there is no way back
            self.assertEqual(await client.line(), b"MOVE")
            await host.ended()
            await self.wait_until(lambda: stop.called, "its end")
        self.assertTrue(all(deadline.callback is None for deadline in lame._pending))

    async def test_a_reload_while_it_ends_moves_discovery(self) -> None:
        self.build()
        await self.accept_watch()
        other = Listener()
        self.addCleanup(other.port.stopListening)
        host, port = other.address.split(":")
        with patch.object(node_module, "RESTART", LONG):
            self.node.stop()
        self.node.reload(lambda now: (msgspec.structs.replace(now, discovery=(host, int(port))), []))
        call = await other.next()
        self.assertEqual(await call.line(), b"GET /catalog/members HTTP/1.1")
        self.shutdown.cancel()
        call.transport.abortConnection()
        await call.ended()

    async def test_a_stop_while_it_hands_over_to_a_newer_process_changes_nothing(self) -> None:
        self.build()
        self.node._shut_down(LONG)  # as when a newer process is ready
        first = self.shutdown
        self.node.stop()
        self.assertIs(self.node.lifecycle.shutdown, first)
        first.cancel()

    async def test_a_stop_in_the_middle_of_a_reload_ends_it_and_the_reload_holds(self) -> None:
        self.build()
        await self.accept_watch()
        client, _, host = await self.establish(REQUEST)
        other = Listener()
        self.addCleanup(other.port.stopListening)
        name, port = other.address.split(":")

        def read(now: NodeConfig) -> tuple[NodeConfig, list[str]]:
            self.node.stop()
            return msgspec.structs.replace(now, discovery=(name, int(port))), []

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
            await self.wait_until(lambda: stop.called, "its end")
        await call.ended()  # nothing is asked any more

    async def test_a_stop_before_the_start_ends_it(self) -> None:
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
            await self.wait_until(lambda: stop.called, "its end")
        self.assertIsNone(fresh.listeners.main)


class MoveStories(NodeTestCase):
    """A node that moves its clients."""

    async def test_stopping_moves_all_between_whole_lines_and_answers_the_rest(self) -> None:
        self.build()
        client, _, host = await self.establish(ROUTED_REQUEST)
        host.write(b"half a ")
        await self.wait_until(lambda: client.buffer, "the half line")
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
            late, _, _ = await self.establish(
                ROUTED_REQUEST
            )  # other nodes may be stopping too, or not be back yet
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
            await self.wait_until(lambda: stop.called, "its end")


def test_all_is_moved_before_the_kill_whatever_the_longest_deadline() -> None:
    for pace in (RESTART, UPGRADE):
        for longest in (100, 500, 1000, 2000, 3000, 60000):
            kill = milliseconds(min(longest, 3000) + 700)
            found = pace.before_kill(milliseconds(longest))
            assert found.end <= kill - milliseconds(400)
            assert ZERO < found.first_move + found.move_spread < found.end
            assert found.accept_duration <= found.end
        assert pace.before_kill(milliseconds(3000)) == pace


class ShortDeadlineStories(NodeTestCase):
    """A node that is told to stop where requests have half a second."""

    async def test_a_short_deadline_leaves_less_time_to_move_all(self) -> None:
        chat = replace(SETTINGS.classes[0], deadline_ms=500)
        self.build(classes=(chat,))
        client, _, host = await self.establish(ROUTED_REQUEST.replace("d=1100", "d=450"))
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(program, "stop") as stop,
        ):
            begun = self.node.deadlines.clock.now()
            self.node.stop()
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await host.ended(), "ConnectionDone")
            client.transport.loseConnection()
            await self.wait_until(lambda: stop.called, "its end")
            self.assertLess(self.node.deadlines.clock.now() - begun, milliseconds(500 + 700))
