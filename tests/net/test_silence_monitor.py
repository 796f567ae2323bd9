"""Hosts that fall silent while they serve a client."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.interface import AttemptEnded, Outcome
from puffindeck.net import silence_monitor
from tests.support.node_test_case import REQUEST, NodeTestCase
from tests.support.raw_client_test_case import REQUEST as SHORT_REQUEST
from tests.support.raw_client_test_case import RawClientTestCase


class SilentHostTests(NodeTestCase):
    """Served clients whose host sends nothing more."""

    async def test_the_client_of_a_silent_host_is_moved(self) -> None:
        with patch.object(silence_monitor, "SILENCE_LIMIT", milliseconds(100)):
            self.build()
            client, _, host = await self.establish(REQUEST)
            client.write(b"M 1\r\n")
            self.assertEqual(await host.line(), b"M 1")
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await client.ended(), "ConnectionDone")
            self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.RESET)

    async def test_a_partial_line_of_the_client_needs_no_answer(self) -> None:
        # Otherwise a client that pauses within a line would be moved, and its host taken for silent.
        self.build()
        client, _, host = await self.establish(REQUEST)
        client.write(b"half a li")
        await self.wait_until(lambda: host.has_partial_line(b"half a li"), "the partial line at the host")
        later = self.node.deadlines.clock.now() + silence_monitor.SILENCE_LIMIT * 2
        (link,) = self.node.connections.upstreams
        self.assertLess(link.silent_for(later), silence_monitor.SILENCE_LIMIT)
        client.write(b"ne\r\n")
        self.assertEqual(await host.line(), b"half a line")
        self.assertGreater(link.silent_for(later), silence_monitor.SILENCE_LIMIT)


class PartialAnswerTests(RawClientTestCase):
    """A host that falls silent within a line."""

    async def test_a_partial_line_of_the_host_does_not_end_the_silence(self) -> None:
        # If a partial line counted as an answer, silence would be detected only after two more client lines.
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
        self.assertTrue(client.has_partial_line(b"M "))  # MOVE can't be sent in the middle of a line
        self.assertEqual(self.recorded_events(AttemptEnded)[-1].outcome, Outcome.RESET)
        self.assertEqual(await host.ended(), "ConnectionDone")

    def test_silence_is_detected_well_before_seven_seconds(self) -> None:
        """The client's first unanswered line may be sent 2 s after the host falls silent."""
        detected_after = milliseconds(2000) + silence_monitor.SILENCE_LIMIT + silence_monitor.SWEEP_INTERVAL
        self.assertLessEqual(detected_after, milliseconds(5500))
        # A single lost line does not count as silence.
        self.assertGreater(silence_monitor.SILENCE_LIMIT, milliseconds(2500))
