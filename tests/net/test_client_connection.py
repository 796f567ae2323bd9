"""A client's connection: what it sends or ends in the moment in which the node ends it, or is not ready."""

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


class CloseStories(RawClientTestCase):
    """The node ends a connection that has asked nothing, and its client asks in that moment."""

    async def test_a_request_that_has_come_when_a_resting_connection_is_ended_is_served(self) -> None:
        self.build()
        plain, line = await self.connect_idle()
        plain.sendall(REQUEST.encode() + b"\r\n")
        line._on_timeout()
        self.assertIs(line.state, ConnectionState.WAITING)
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r\r\n")
        await self.wait_until(lambda: line.state is ConnectionState.RELAYING, "UP")

    async def test_a_request_that_comes_after_the_end_has_an_answer_and_is_not_sent_on(self) -> None:
        self.build()
        plain, line = await self.connect_idle()
        line._on_timeout()
        plain.sendall(REQUEST.encode() + b"\r\n")
        text = await self.read_to_end(plain)
        self.assertRegex(text, rb"^PONG\r\nBUSY \d+\r\n$")
        plain.close()
        await self.wait_until(lambda: line.state is ConnectionState.GONE, "the end")
        self.assertFalse(self.is_host_reached())

    async def test_who_is_put_out_for_room_and_has_asked_is_served_and_else_told_busy(self) -> None:
        self.build()
        asked, its = await self.connect_accepted()
        silent, other = await self.connect_accepted()
        asked.sendall(REQUEST.encode() + b"\r\n")
        its.evict()
        other.evict()
        self.assertIs(its.state, ConnectionState.WAITING)
        self.assertIs(other.state, ConnectionState.GONE)  # its descriptor is free at once
        self.assertRegex(await self.read_to_end(silent), rb"^BUSY \d+\r\n$")

    async def test_an_answer_leaves_whole_though_room_is_needed_in_the_same_turn(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        with patch.object(self.node.admission, "on_answered", lambda client: client.evict()):
            line.fail()
        self.assertIs(line.state, ConnectionState.GONE)
        self.assertEqual(await self.read_to_end(plain), b"ERR\r\n")

    async def test_half_a_line_at_the_end_is_answered(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        plain.sendall(b"OPEN 9b1f03aa")
        await self.wait_until(lambda: line._buffer, "the half")
        self.node.lifecycle.is_accepting = False
        line.answer_before_stop(True)
        plain.sendall(b"5c7e2d41 7f3a c=chat,d=1100\r\n")
        self.assertRegex(await self.read_to_end(plain), rb"^BUSY \d+\r\n$")
        self.assertFalse(self.is_host_reached())

    async def test_several_lines_in_one_segment_are_one_error_also_at_the_end(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        plain.sendall((REQUEST + "\r\n").encode() * 3)
        line.answer_before_stop(True)
        self.assertEqual(await self.read_to_end(plain), b"ERR\r\n")
        self.assertFalse(self.is_host_reached())


class ReadinessStories(RawClientTestCase):
    """Clients that ask whether this node is ready before it is."""

    async def asking(self) -> tuple[socket.socket, ClientProtocol]:
        plain, line = await self.connect_accepted()
        plain.sendall(b"PING\r\n")
        await self.wait_until(lambda: line.state is ConnectionState.AWAITING_READINESS, "the question")
        return plain, line

    async def test_each_question_before_readiness_has_its_answer(self) -> None:
        self.build()
        watch = await self.accept_watch()
        plain, line = await self.asking()
        plain.sendall(b"PING\r\n")
        await self.wait_until(lambda: line._unanswered_pings == 2, "the second question")
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: line.state is ConnectionState.IDLE, "readiness")
        self.assertEqual(await self.read_exactly(plain, 12), b"PONG\r\nPONG\r\n")

    async def test_who_waits_for_readiness_stands_at_the_door_and_may_have_to_go(self) -> None:
        # they were counted as served: by asking they could fill all descriptors while discovery was away
        self.build()
        plain, line = await self.asking()
        self.assertIn(line, self.node.admission.waiting)
        line.evict()
        self.assertRegex(await self.read_to_end(plain), rb"^BUSY \d+\r\n$")
        await self.wait_until(lambda: line.state is ConnectionState.GONE, "its end")
        self.assertFalse(self.node.lifecycle._waiting)

    async def test_who_has_gone_before_readiness_is_forgotten(self) -> None:
        self.build()
        plain, line = await self.asking()
        plain.close()
        await self.wait_until(lambda: line.state is ConnectionState.GONE, "its end")
        self.assertFalse(self.node.lifecycle._waiting)

    async def test_a_request_before_readiness_takes_the_questions_place(self) -> None:
        self.build()
        watch = await self.accept_watch()
        plain, line = await self.asking()
        plain.sendall(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        host.write(b"UP r\r\n")
        await self.wait_until(lambda: line.state is ConnectionState.RELAYING, "UP")
        self.assertEqual(await self.read_exactly(plain, 6), b"UP r\r\n")

    async def test_an_idle_moment_in_which_the_question_comes_ends_nothing(self) -> None:
        self.build()
        plain, line = await self.connect_accepted()
        plain.sendall(b"PING\r\n")
        line._on_timeout()
        self.assertIs(line.state, ConnectionState.AWAITING_READINESS)

    async def test_a_discovery_that_says_nothing_keeps_nobody_from_being_ready(self) -> None:
        self.build()
        plain, line = await self.asking()
        # the time for an answer passes now: a short one may pass before the question on a busy machine
        assert self.node.watch is not None
        patience = self.node.watch._timeout
        assert patience is not None
        assert patience.callback is not None
        self.assertLessEqual(patience.due, self.node.deadlines.clock.now() + ANSWER_TIMEOUT)
        patience.callback(*patience.args)
        await self.wait_until(lambda: line.state is ConnectionState.IDLE, "readiness")
        self.assertEqual(await self.read_exactly(plain, 6), b"PONG\r\n")


class RudeStories(NodeTestCase):
    """Strangers that say nothing, or send what can't be read, at full speed."""

    async def test_a_silent_or_dribbling_client_is_closed_soon(self) -> None:
        # 30 s of patience let them take all descriptors: a day with them lost half of its usual requests
        self.assertLess(client_connection.FIRST_LINE_TIMEOUT, milliseconds(3000))
        self.build()
        with patch.object(client_connection, "FIRST_LINE_TIMEOUT", milliseconds(50)):
            silent = await self.client()
            dribbling = await self.client()
            dribbling.write(b"OPEN 9b1f")
            self.assertEqual(await silent.ended(), "ConnectionDone")
            self.assertEqual(await dribbling.line(), b"ERR")
            self.assertEqual(await dribbling.ended(), "ConnectionDone")
            waiting = await self.client("PING")  # the list is not there yet: it waits for that
            watch = await self.accept_watch()
            self.send_update(watch, 2, False)
            self.assertEqual(await waiting.line(), b"PONG")
            self.assertEqual(await waiting.ended(), "ConnectionDone")

    async def test_a_client_that_sends_on_and_on_still_reads_its_answer(self) -> None:
        self.build()
        for start in (b"x" * 5000, b"OPEN\r\n", b"OPEN 1 2 c=chat,d=many\r\n"):
            client = await self.client()
            client.write(start + b"y" * 3_000_000)
            self.assertEqual(await client.line(), b"ERR")
            await client.ended()
        await self.wait_until(lambda: not self.node.connections.clients, "all to go")
