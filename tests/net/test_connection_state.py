"""The states of a client's connection, and their transitions."""

from __future__ import annotations

from puffindeck.net.connection_state import FINISHED, TRANSITIONS, ConnectionState


def test_every_phase_has_its_ways_on_and_none_leads_back_from_the_end() -> None:
    assert set(TRANSITIONS) == set(ConnectionState)
    last = ConnectionState.GONE
    assert all(last in TRANSITIONS[state] for state in ConnectionState if state is not last)
    assert all(TRANSITIONS[state] <= FINISHED for state in FINISHED)
