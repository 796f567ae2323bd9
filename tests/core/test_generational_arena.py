"""Slots of the arena that are reused."""

from __future__ import annotations

from puffindeck.core.requests import AttemptId
from puffindeck.interface import AttemptEnded, Outcome
from tests.support.node_test_case import NodeTestCase


class GenerationalArenaTest(NodeTestCase):
    """Callbacks of the engine that arrive after their request has ended."""

    def test_late_callback_does_not_reach_new_item_of_reused_slot(self) -> None:
        self.build()
        slots = self.node.engine.requests
        first = slots.add(object())  # type: ignore[arg-type]
        slots.drop(first)
        second = slots.add(object())  # type: ignore[arg-type]
        self.assertNotEqual(first, second)
        self.assertIsNone(slots.get(first))
        self.node.engine.attempt_ended(AttemptId(first, 0), Outcome.OK)
        self.assertEqual(self.recorded_events(AttemptEnded), [])
        slots.drop(second)
