"""How many connections a turn of the reactor accepts."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.net import listening, logs
from tests.support.node_test_case import NodeTestCase


class ListeningStories(NodeTestCase):
    """Strangers that come at full speed."""

    async def test_a_turn_takes_in_few_and_their_lines_are_few(self) -> None:
        self.build()
        self.main_port.numberAccepts = 500  # as the library would set it
        self.assertEqual(self.main_port.numberAccepts, listening.ACCEPTS_PER_TURN)
        with (
            patch.object(self.node.client_services.rejected_lines, "_log") as written,
            patch.object(logs, "PERIOD", milliseconds(300)),
        ):
            for _ in range(logs.MAX_LINES + 5):
                await (await self.client("HI")).line()
            await self.wait_until(lambda: written.warn.call_count > logs.MAX_LINES, "the count of the rest")
        self.assertEqual(written.warn.call_args.kwargs["more"], 5)
