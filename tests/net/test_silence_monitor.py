"""Hosts that fall silent under their clients."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.interface import (
    AttemptEnded,
    Outcome,
)
from puffindeck.net import (
    silence_monitor,
)
from tests.support.node_story import ASK, Story


class SilentHostStories(Story):
    """Served clients whose host says nothing more."""

    async def test_a_silent_hosts_client_is_moved(self) -> None:
        with patch.object(silence_monitor, "SILENCE_LIMIT", milliseconds(100)):
            self.build()
            client, _, host = await self.served(ASK)
            client.write(b"M 1\r\n")
            self.assertEqual(await host.line(), b"M 1")
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await client.ended(), "ConnectionDone")
            self.assertEqual(self.ends(AttemptEnded)[-1].outcome, Outcome.RESET)

    async def test_the_start_of_a_line_is_owed_no_answer(self) -> None:
        # a client that stopped short in a line was moved, and its host cut, for the host's silence
        self.build()
        client, _, host = await self.served(ASK)
        client.write(b"half a li")
        await self.until(lambda: host.left(b"half a li"), "its passing")
        later = self.node.deadlines.clock.now() + silence_monitor.SILENCE_LIMIT * 2
        (link,) = self.node.connections.upstreams
        self.assertLess(link.silent_for(later), silence_monitor.SILENCE_LIMIT)
        client.write(b"ne\r\n")
        self.assertEqual(await host.line(), b"half a line")
        self.assertGreater(link.silent_for(later), silence_monitor.SILENCE_LIMIT)
