"""Slots that are given away again."""

from __future__ import annotations

from puffindeck.core.requests import AttemptId
from puffindeck.interface import AttemptEnded, Outcome
from tests.support.node_test_case import NodeTestCase


class ArenaStories(NodeTestCase):
    """A late callback of the engine."""

    def test_a_late_callback_finds_no_one_in_a_slot_given_away_again(self) -> None:
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
