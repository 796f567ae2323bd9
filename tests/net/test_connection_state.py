"""The states of a client's connection, and their transitions."""

from __future__ import annotations

from puffindeck.net.connection_state import FINISHED, TRANSITIONS, ConnectionState


def test_every_state_has_transitions_and_finished_states_are_never_left() -> None:
    assert set(TRANSITIONS) == set(ConnectionState)
    final = ConnectionState.CLOSED
    assert all(final in TRANSITIONS[state] for state in ConnectionState if state is not final)
    assert all(TRANSITIONS[state] <= FINISHED for state in FINISHED)
