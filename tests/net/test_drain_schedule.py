"""How long a stopping process has, which hangs on the deployment's longest deadline."""

from __future__ import annotations

from dataclasses import replace
from unittest.mock import patch

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.net.graceful_shutdown import RESTART, UPGRADE
from tests.net.test_node import ASK
from tests.support.node_story import SETTINGS, Story, reactor


def test_all_is_moved_before_the_kill_whatever_the_longest_deadline() -> None:
    for pace in (RESTART, UPGRADE):
        for longest in (100, 500, 1000, 2000, 3000, 60000):
            kill = milliseconds(min(longest, 3000) + 700)
            found = pace.before_kill(milliseconds(longest))
            assert found.end <= kill - milliseconds(400)
            assert ZERO < found.send_from + found.send_over < found.end
            assert found.accept <= found.end
        assert pace.before_kill(milliseconds(3000)) == pace


class StopStories(Story):
    """A node that is told to stop where requests have half a second."""

    async def test_a_short_deadline_leaves_less_time_to_move_all(self) -> None:
        chat = replace(SETTINGS.classes[0], deadline_ms=500)
        self.build(classes=(chat,))
        client, _, host = await self.served(ASK.replace("d=1100", "d=450"))
        with (
            patch.object(self.node, "reactor", wraps=reactor) as program,
            patch.object(program, "stop") as stop,
        ):
            begun = self.node.deadlines.clock.now()
            self.node.stop()
            self.assertEqual(await client.line(), b"MOVE")
            self.assertEqual(await host.ended(), "ConnectionDone")
            client.transport.loseConnection()
            await self.until(lambda: stop.called, "its end")
            self.assertLess(self.node.deadlines.clock.now() - begun, milliseconds(500 + 700))
