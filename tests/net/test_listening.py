"""The number of connections accepted per reactor turn."""

from __future__ import annotations

from unittest.mock import patch

from puffindeck.core.clock import milliseconds
from puffindeck.net import listening, logs
from tests.support.node_test_case import NodeTestCase


class ListeningTests(NodeTestCase):
    """Clients that connect at full speed."""

    async def test_accepts_per_turn_and_log_lines_per_period_are_bounded(self) -> None:
        self.build()
        self.main_port.numberAccepts = 500  # the value that the library sets
        self.assertEqual(self.main_port.numberAccepts, listening.ACCEPTS_PER_TURN)
        with (
            patch.object(self.node.client_services.rejected_lines, "_log") as written,
            patch.object(logs, "PERIOD", milliseconds(300)),
        ):
            for _ in range(logs.MAX_LINES + 5):
                await (await self.client("HI")).line()
            await self.wait_until(
                lambda: written.warn.call_count > logs.MAX_LINES, "the line with the count of the others"
            )
        self.assertEqual(written.warn.call_args.kwargs["more"], 5)
