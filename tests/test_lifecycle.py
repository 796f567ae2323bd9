"""Two events in one moment: what a client sends, ends or asks while the node ends its connection, or itself.

Plain sockets put octets and ends into the kernel without a turn of the reactor, so each order is caused.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest.mock import patch

from twisted.internet.threads import deferToThread

from puffindeck.core.clock import span
from puffindeck.interface import ClientLeft, Effect, Ended, Outcome, Scope
from puffindeck.net import node as node_module
from puffindeck.net.client import ClientLine
from puffindeck.net.host import HostLine, Link
from puffindeck.net.leaving import Leaving, Pace
from puffindeck.net.visitor import NEXT, OVER, Phase
from tests.stories import SETTINGS, Peer, Story, reactor
from tests.test_node import ASK

CHAT = SETTINGS.classes[0]
OVER_NOW = Pace(span(0), span(0), span(0), span(0))


class CrossingStory(Story):
    """A node, and clients on plain sockets."""

    def raw(self) -> socket.socket:
        plain = socket.create_connection(("127.0.0.1", self.node.port.getHost().port))
        plain.settimeout(5)
        self.addCleanup(plain.close)
        return plain

    async def met(self) -> tuple[socket.socket, ClientLine]:
        """A client that has said nothing, and the node's side of it."""
        before = set(self.node.clients)
        plain = self.raw()
        await self.until(lambda: self.node.clients - before, "the accept")
        (line,) = self.node.clients - before
        return plain, line

    async def reads(self, plain: socket.socket) -> bytes:
        """All that a client is told until the end; a reset raises ConnectionResetError."""

        def read() -> bytes:
            text = b""
            while piece := plain.recv(4096):
                text += piece
            return text

        return bytes(await deferToThread(read))

    def reached(self) -> bool:
        return any(host.peers for host in self.hosts.values())

    async def resting(self) -> tuple[socket.socket, ClientLine]:
        watch = await self.watched()
        self.news(watch, 2, False)
        await self.until(lambda: self.node.ready, "readiness")
        plain, line = await self.met()
        plain.sendall(b"PING\r\n")
        await self.until(lambda: line.phase is Phase.RESTS, "PONG")
        return plain, line


class CloseStories(CrossingStory):
    """The node ends a connection that has asked nothing, and its client asks in that moment."""

    async def test_a_request_that_has_come_when_a_resting_connection_is_ended_is_served(self) -> None:
        self.build()
        plain, line = await self.resting()
        plain.sendall(ASK.encode() + b"\r\n")
        line._idle()
        self.assertIs(line.phase, Phase.ASKS)
        _, host = await self.host_of()
        await host.line()
        host.write(b"UP r\r\n")
        await self.until(lambda: line.phase is Phase.PASSES, "UP")

    async def test_a_request_that_comes_after_the_end_has_an_answer_and_is_not_sent_on(self) -> None:
        self.build()
        plain, line = await self.resting()
        line._idle()
        plain.sendall(ASK.encode() + b"\r\n")
        text = await self.reads(plain)
        self.assertRegex(text, rb"^PONG\r\nBUSY \d+\r\n$")
        plain.close()
        await self.until(lambda: line.phase is Phase.GONE, "the end")
        self.assertFalse(self.reached())

    async def test_who_is_put_out_for_room_and_has_asked_is_served_and_else_told_busy(self) -> None:
        self.build()
        asked, its = await self.met()
        silent, other = await self.met()
        asked.sendall(ASK.encode() + b"\r\n")
        its.put_out()
        other.put_out()
        self.assertIs(its.phase, Phase.ASKS)
        self.assertIs(other.phase, Phase.GONE)  # its descriptor is free at once
        self.assertRegex(await self.reads(silent), rb"^BUSY \d+\r\n$")

    async def test_an_answer_leaves_whole_though_room_is_needed_in_the_same_turn(self) -> None:
        self.build()
        plain, line = await self.met()
        with patch.object(self.node.door, "leaves", lambda client: client.put_out()):
            line.fail()
        self.assertIs(line.phase, Phase.GONE)
        self.assertEqual(await self.reads(plain), b"ERR\r\n")

    async def test_half_a_line_at_the_end_is_answered(self) -> None:
        self.build()
        plain, line = await self.met()
        plain.sendall(b"OPEN 9b1f03aa")
        await self.until(lambda: line._buffer, "the half")
        self.node.shut = True
        line.close_out(True)
        plain.sendall(b"5c7e2d41 7f3a c=chat,d=1100\r\n")
        self.assertRegex(await self.reads(plain), rb"^BUSY \d+\r\n$")
        self.assertFalse(self.reached())

    async def test_several_lines_in_one_segment_are_one_error_also_at_the_end(self) -> None:
        self.build()
        plain, line = await self.met()
        plain.sendall((ASK + "\r\n").encode() * 3)
        line.close_out(True)
        self.assertEqual(await self.reads(plain), b"ERR\r\n")
        self.assertFalse(self.reached())


class StopStories(CrossingStory):
    """A node that ends."""

    def leaving(self, pace: Pace = OVER_NOW) -> Leaving:
        done: list[int] = []
        leaving = Leaving(self.node, pace, lambda: done.append(1))
        self.node.leaving = leaving
        return leaving

    async def test_who_waits_at_the_port_is_answered_before_it_closes(self) -> None:
        self.build()
        self.node.shut = True
        waiting = [self.raw() for _ in range(40)]  # more than one turn accepts
        for plain in waiting:
            plain.sendall(ASK.encode().replace(b"9b1f", b"%04d" % plain.fileno()) + b"\r\n")
        self.assertFalse(self.node.shut_ports())
        for plain in waiting:
            self.assertRegex(await self.reads(plain), rb"^BUSY \d+\r\n$")
            plain.close()
        await self.until(lambda: not self.node.clients, "their ends")
        self.assertTrue(self.node.shut_ports())
        self.assertFalse(self.node.port.connected)

    async def test_who_waits_at_the_port_when_time_is_up_is_answered_too(self) -> None:
        self.build()
        plain = self.raw()
        plain.sendall(ASK.encode() + b"\r\n")
        self.node.shut = True
        self.leaving()._look()
        self.assertFalse(self.node.port.connected)
        self.assertRegex(await self.reads(plain), rb"^BUSY \d+\r\n$")

    async def hung(self, **rules: Any) -> tuple[Peer, Peer]:
        """A client whose request is with a host that says nothing."""
        self.build(classes=(replace(CHAT, **rules),))
        client = await self.client(ASK)
        _, host = await self.host_of()
        await host.line()
        return client, host

    async def test_a_request_at_a_hung_host_is_refused_at_the_end_where_that_is_harmless(self) -> None:
        client, host = await self.hung()
        self.leaving()._look()
        self.assertRegex(await client.line(), rb"^BUSY \d+$")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_one_that_may_have_run_and_must_not_run_twice_is_failed_at_the_end(self) -> None:
        client, host = await self.hung(effect=Effect.UNSAFE)
        self.leaving()._look()
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")

    async def test_one_whose_repeats_only_a_zone_discards_is_failed_at_the_end(self) -> None:
        client, _ = await self.hung(effect=Effect.KEYED, scope=Scope.ZONE, window_ms=5000.0)
        self.leaving()._look()
        self.assertEqual(await client.line(), b"ERR")

    async def test_a_request_is_answered_at_the_end_though_the_module_fails(self) -> None:
        client, host = await self.hung()
        with patch.object(self.node.engine.balancer, "handle", side_effect=ZeroDivisionError):
            self.leaving()._look()
            self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertGreaterEqual(len(self.flushLoggedErrors(ZeroDivisionError)), 2)  # the word, and its end

    async def test_who_asks_whether_it_is_ready_is_told_no_when_it_ends_before_that(self) -> None:
        self.build()
        plain, line = await self.met()
        plain.sendall(b"PING\r\n")
        await self.until(lambda: self.node._waiting, "the question")
        with patch.object(node_module, "RESTART", Pace(span(5000), span(5000), span(0), span(5000))):
            self.node.stop()
        self.assertIs(line.phase, Phase.RESTS)
        plain.shutdown(socket.SHUT_WR)
        self.assertEqual(await self.reads(plain), b"BUSY\r\n")
        self.node.leaving.cancel()

    async def test_a_line_that_begins_before_a_move_is_not_begun_at_the_client(self) -> None:
        self.build()
        client, _, host = await self.served(ASK)
        (line,) = self.node.clients
        host.write(b"whole\r\nhal")
        await self.until(lambda: line._line_open, "the half")
        line.hold()
        host.write(b"f\r\nnext")
        await self.until(lambda: line._tail == b"next", "the next")
        self.node.engine.send_away(line.request)
        self.assertEqual([await client.line() for _ in range(3)], [b"whole", b"half", b"MOVE"])
        self.assertTrue(client.left(b""))

    async def test_a_line_held_back_passes_when_nobody_is_moved_after_all(self) -> None:
        self.build()
        client, _, host = await self.served(ASK)
        (line,) = self.node.clients
        leaving = self.leaving(Pace(span(0), span(60000), span(0), span(60000)))
        line.hold()
        host.write(b"half")
        await self.until(lambda: line._tail, "the half")
        leaving.cancel()
        await self.until(lambda: client.left(b"half"), "the half at the client")
        host.write(b" a line\r\n")
        self.assertEqual(await client.line(), b"half a line")

    async def test_moves_are_held_for_in_time(self) -> None:
        self.build()
        await self.served(ASK)
        (line,) = self.node.clients
        leaving = self.leaving(Pace(span(0), span(600), span(0), span(60000)))
        leaving._plan_moves()
        await self.until(lambda: line.phase is Phase.HOLDS, "the hold")
        leaving.cancel()
        self.assertIs(line.phase, Phase.PASSES)


class SilenceStories(CrossingStory):
    """A host that stops in the middle of its answer."""

    async def test_half_an_answer_is_no_sign_of_life(self) -> None:
        # the start of a line took the client's line for answered: it waited for two more lines of its own
        with patch.object(node_module, "SILENT", span(150)), patch.object(node_module, "SWEEP", span(20)):
            self.build()
            client, _, host = await self.served(ASK)
            client.write(b"M 1\r\n")
            await host.line()
            host.write(b"M ")
            self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertTrue(client.left(b"M "))  # no MOVE has its place in the middle of a line
        self.assertEqual(self.ends(Ended)[-1].outcome, Outcome.RESET)
        self.assertEqual(await host.ended(), "ConnectionDone")

    def test_silence_ends_well_before_seven_seconds(self) -> None:
        """The first line without an answer may come 2 s after a connection fell silent."""
        self.assertLessEqual(span(2000) + node_module.SILENT + node_module.SWEEP, span(5500))
        self.assertGreater(node_module.SILENT, span(2500))  # one lost line is not yet silence


class LeaverStories(CrossingStory):
    """Clients that leave, and the reactor has not come to it."""

    def at_connect(self, do: Callable[[], None]) -> Any:
        """Have something happen in the moment in which a host's connection comes up."""
        made = HostLine.connectionMade

        def first(line: HostLine) -> None:
            do()
            made(line)

        return patch.object(HostLine, "connectionMade", first)

    async def test_no_attempt_for_a_client_that_closed_right_behind_its_request(self) -> None:
        self.build()
        plain, line = await self.met()
        plain.sendall(ASK.encode() + b"\r\n")
        plain.close()
        await self.until(lambda: line.phase is Phase.GONE, "its end")
        self.assertFalse(self.node.links)
        self.assertFalse(self.reached())
        self.assertEqual(len(self.ends(ClientLeft)), 1)

    async def test_no_byte_goes_out_where_the_client_left_while_the_connect_took_its_time(self) -> None:
        self.build()
        plain, line = await self.met()
        with self.at_connect(plain.close):
            plain.sendall(ASK.encode() + b"\r\n")
            _, host = await self.host_of()
            await host.ended()
        await self.until(lambda: line.phase is Phase.GONE, "its end")
        self.assertTrue(host.left(b""))
        self.assertEqual([e.outcome for e in self.ends(Ended)], [Outcome.CANCELLED])
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_no_further_attempt_for_a_client_that_left_when_the_first_one_failed(self) -> None:
        self.build()
        plain, line = await self.met()
        plain.sendall(ASK.encode() + b"\r\n")
        _, host = await self.host_of()
        await host.line()
        (link,) = self.node.links
        plain.close()
        link.finish(Outcome.ERROR)  # the host's word, in the turn in which the client's end has come
        await self.until(lambda: line.phase is Phase.GONE, "its end")
        self.assertEqual(sum(len(h.peers) for h in self.hosts.values()), 1)

    async def test_an_attempt_whose_time_is_over_when_its_connection_comes_up_is_not_begun(self) -> None:
        self.build()
        client = await self.client()

        def late() -> None:
            for link in self.node.links:
                link._begin = self.node.deadlines.clock.now()

        with self.at_connect(late):
            client.write(ASK.encode() + b"\r\n")
            _, host = await self.host_of()
            await host.ended()
            self.assertTrue(host.left(b""))
            self.assertEqual(self.ends(Ended)[0].outcome, Outcome.CONNECT_FAILED)

    async def test_a_repeat_begins_within_the_window_or_not_at_all(self) -> None:
        self.build(classes=(replace(CHAT, effect=Effect.KEYED, window_ms=400.0),))
        client = await self.client(ASK)
        uid, host = await self.host_of()
        await host.line()
        begins: list[Any] = []
        connect = Link.connect

        def noted(link: Link, *args: Any) -> None:
            begins.append(link._begin - self.node.deadlines.clock.now())
            connect(link, *args)

        with patch.object(Link, "connect", noted):
            host.transport.abortConnection()
            _, second = await self.host_of(uid)
            await second.line()
        self.assertLess(begins[0], span(400))
        second.transport.abortConnection()
        self.assertRegex(await client.line(), rb"^BUSY \d+$|^ERR$")  # at once: nothing may be sent any more


def test_every_phase_has_its_ways_on_and_none_leads_back_from_the_end() -> None:
    assert set(NEXT) == set(Phase)
    assert all(Phase.GONE in NEXT[phase] for phase in Phase if phase is not Phase.GONE)
    assert all(NEXT[phase] <= OVER for phase in OVER)


assert reactor
