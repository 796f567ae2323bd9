"""The requests of an engine, in numbered slots."""

from __future__ import annotations

from puffindeck.core.generational_arena import GenerationalArena
from puffindeck.core.requests import RequestState
from puffindeck.core.timer_queue import TimerQueue


class RequestTable(GenerationalArena[RequestState]):
    """Each request from its arrival until it is answered and its last attempt has ended."""

    def __init__(self, deadlines: TimerQueue) -> None:
        super().__init__()
        self._deadlines = deadlines

    def take(self, state: RequestState) -> int:
        """Put a request into a slot. Returns its number, which is its id too where it has none."""
        number = self.add(state)
        state.number = number
        state.id = state.id or str(number)
        return number

    def settle(self, state: RequestState) -> None:
        """Free the slot of a request that is answered and has no attempt out."""
        if state.answered and not state.attempt_active:
            self._deadlines.cancel(state.deadline_guard)
            self.drop(state.number)
