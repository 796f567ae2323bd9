"""A client's first line over loopback: parsing, and the answers that the node gives itself."""

from __future__ import annotations

from functools import partial
from typing import Any

from puffindeck.interface import AttemptEnded, Outcome
from tests.support.node_test_case import REQUEST, NodeTestCase


class FirstLineTests(NodeTestCase):
    """First lines that are valid, invalid, split or repeated."""

    async def test_a_line_is_read_the_same_wherever_it_is_split(self) -> None:
        self.build()
        watch = await self.accept_watch()
        self.send_update(watch, 2, False)
        await self.wait_until(lambda: self.node.lifecycle.is_ready, "readiness")
        for line, answer in ((b"PING\r\n", b"PONG"), (b"OPEN 1 2 c=none,d=5\r\n", b"ERR")):
            for cut in range(1, len(line)):
                client = await self.client()
                client.write(line[:cut])
                (protocol,) = self.node.admission.waiting
                await self.wait_until(
                    partial(self.has_buffered, protocol, line[:cut]), "the first part of the line"
                )
                client.write(line[cut:])
                self.assertEqual(await client.line(), answer)
                client.transport.abortConnection()
                await self.wait_until(lambda: not self.node.connections.clients, "the client to close")

    @staticmethod
    def has_buffered(protocol: Any, part: bytes) -> bool:
        return bool(protocol._buffer == part)

    async def test_ping_is_answered_pong_only_once_the_node_is_ready(self) -> None:
        self.build()
        client = await self.client("PING")
        watch = await self.accept_watch()
        self.assertFalse(self.node.lifecycle.is_ready)
        self.send_update(watch, 2, False)
        self.assertEqual(await client.line(), b"PONG")
        self.assertEqual(self.main_port.getHost().host, "127.0.0.1")

    async def test_invalid_lines_are_answered_err(self) -> None:
        self.build()
        for line in (
            "OPEN",
            "OPEN 1 2 c=chat",
            "OPEN 1 2 c=none,d=5",
            "OPEN 1 2 c=chat,d=nan",
            "x" * 5000,
            "OPEN 1 2 c=chat,d=5,d=6",
            "OPEN 1 2 c=chat,d=-5",
            "OPEN 1 2 c=chat,d=1_0",
            "OPEN 1 2 c=chat,d=1e3",
            "OPEN  2 c=chat,d=5",
            "OPEN 1 2 c=chat,d=5,\x01=2",
            "HI",
        ):
            client = await self.client(line)
            self.assertEqual(await client.line(), b"ERR")
            await client.ended()
        await self.establish(REQUEST)

    async def test_further_lines_before_the_answer_are_an_error_and_end_the_attempt(self) -> None:
        self.build()
        client = await self.client("\r\n".join([REQUEST] * 300))
        self.assertEqual(await client.line(), b"ERR")
        client = await self.client(REQUEST)
        _, host = await self.accept_attempt()
        await host.line()
        client.write(REQUEST.encode() + b"\r\n")
        self.assertEqual(await client.line(), b"ERR")
        self.assertEqual(await host.ended(), "ConnectionDone")
        self.assertEqual([e.outcome for e in self.recorded_events(AttemptEnded)], [Outcome.CANCELLED])
        self.assertEqual(len(self.node.engine.requests), 0)

    async def test_the_id_of_an_open_request_is_rejected_from_another_client(self) -> None:
        self.build()
        first, _, host = await self.establish(REQUEST.replace("9b1f03aa5c7e2d41", "77"))
        second = await self.client(REQUEST.replace("9b1f03aa5c7e2d41", "77"))
        self.assertEqual(await second.line(), b"ERR")
        first.write(b"still here\r\n")
        self.assertEqual(await host.line(), b"still here")
        first.transport.abortConnection()
        await self.wait_until(lambda: not self.node.connections.open_ids, "the id to be released")
