"""The table of an engine's requests, in numbered slots."""

from __future__ import annotations

from puffindeck.core.generational_arena import GenerationalArena
from puffindeck.core.requests import RequestState
from puffindeck.core.timer_queue import TimerQueue


class RequestTable(GenerationalArena[RequestState]):
    """Contains each request from its arrival until it is answered and its last attempt has ended."""

    def __init__(self, deadlines: TimerQueue) -> None:
        super().__init__()
        self._deadlines = deadlines

    def add_request(self, state: RequestState) -> int:
        """Store a request in a slot and return its number, which also becomes its id if it has none."""
        number = self.add(state)
        state.number = number
        state.id = state.id or str(number)
        return number

    def release_if_complete(self, state: RequestState) -> None:
        """Free the slot of a request that is answered and has no active attempt."""
        if state.answered and not state.attempt_active:
            self._deadlines.cancel(state.deadline_guard)
            self.drop(state.number)
