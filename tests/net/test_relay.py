"""Relaying bytes between a served client and its host."""

from __future__ import annotations

from functools import partial

from puffindeck.interface import AttemptEnded, LatencyReported, Outcome
from tests.support.node_test_case import NodeTestCase


class RelayTests(NodeTestCase):
    """A served client and its host."""

    async def test_bytes_are_relayed_unchanged_except_for_d(self) -> None:
        self.build()
        client = await self.client()
        for part in (b"OPEN 9b1f 7f3a c=ch", b"at,d=1100,again=1,z=9\r", b"\n"):
            client.write(part)
        _, host = await self.accept_attempt()
        head = (await host.line()).decode()
        self.assertRegex(head, r"^OPEN 9b1f 7f3a c=chat,d=\d+,again=1,z=9$")
        self.assertLessEqual(int(head.split("d=")[1].split(",")[0]), 1100)
        host.write(b"UP r\r\nhalf ")
        self.assertEqual(await client.line(), b"UP r")
        client.write(b"hello\r\n")
        self.assertEqual(await host.line(), b"hello")
        host.write(b"a line\r\n")
        self.assertEqual(await client.line(), b"half a line")
        client.write(b"\x00\xff" * 40000 + b"\r\n")
        self.assertEqual(len(await host.line()), 80000)
        for part in (b"LO", b"AD 7.5\r\nno LOAD 9\r\n" + b"x" * 100 + b"\r", b"\nLOAD x\r\nBYE\r", b"\n"):
            # LOAD lines are relayed too; with these settings they report a message's latency.
            host.write(part)
            await self.wait_until(
                partial(client.has_partial_line, part.rsplit(b"\n", 1)[-1]), "the last line of the part"
            )
        host.transport.loseConnection()
        self.assertEqual([await client.line() for _ in range(5)][::2], [b"LOAD 7.5", b"x" * 100, b"BYE"])
        self.assertEqual([e.latency_ms for e in self.recorded_events(LatencyReported)], [7.5])
        self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.OK)
