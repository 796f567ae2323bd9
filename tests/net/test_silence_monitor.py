"""Hosts that fall silent under their clients."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.interface import AttemptEnded, Outcome
from puffindeck.net import silence_monitor
from tests.support.node_test_case import REQUEST, NodeTestCase
from tests.support.raw_client_test_case import REQUEST as SHORT_REQUEST
from tests.support.raw_client_test_case import RawClientTestCase


class SilentHostStories(NodeTestCase):
    """Served clients whose host says nothing more."""

    async def test_a_silent_hosts_client_is_moved(self) -> None:
        with patch.object(silence_monitor, "SILENCE_LIMIT", milliseconds(100)):
            self.build()
            client, _, host = await self.establish(REQUEST)
            client.write(b"M 1\r\n")
            self.assertEqual(await host.line(), b"M 1")
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await client.ended(), "ConnectionDone")
            self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.RESET)

    async def test_the_start_of_a_line_is_owed_no_answer(self) -> None:
        # a client that stopped short in a line was moved, and its host cut, for the host's silence
        self.build()
        client, _, host = await self.establish(REQUEST)
        client.write(b"half a li")
        await self.wait_until(lambda: host.has_partial_line(b"half a li"), "its passing")
        later = self.node.deadlines.clock.now() + silence_monitor.SILENCE_LIMIT * 2
        (link,) = self.node.connections.upstreams
        self.assertLess(link.silent_for(later), silence_monitor.SILENCE_LIMIT)
        client.write(b"ne\r\n")
        self.assertEqual(await host.line(), b"half a line")
        self.assertGreater(link.silent_for(later), silence_monitor.SILENCE_LIMIT)


class SilenceStories(RawClientTestCase):
    """A host that stops in the middle of its answer."""

    async def test_half_an_answer_is_no_sign_of_life(self) -> None:
        # the start of a line took the client's line for answered: it waited for two more lines of its own
        with (
            patch.object(silence_monitor, "SILENCE_LIMIT", milliseconds(150)),
            patch.object(silence_monitor, "SWEEP_INTERVAL", milliseconds(20)),
        ):
            self.build()
            client, _, host = await self.establish(SHORT_REQUEST)
            client.write(b"M 1\r\n")
            await host.line()
            host.write(b"M ")
            self.assertEqual(await client.ended(), "ConnectionDone")
        self.assertTrue(client.has_partial_line(b"M "))  # no MOVE has its place in the middle of a line
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.RESET)
        self.assertEqual(await host.ended(), "ConnectionDone")

    def test_silence_ends_well_before_seven_seconds(self) -> None:
        """The first line without an answer may come 2 s after a connection fell silent."""
        found = milliseconds(2000) + silence_monitor.SILENCE_LIMIT + silence_monitor.SWEEP_INTERVAL
        self.assertLessEqual(found, milliseconds(5500))
        # one lost line is not yet silence
        self.assertGreater(silence_monitor.SILENCE_LIMIT, milliseconds(2500))
