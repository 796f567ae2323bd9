"""The attempts of requests: one out at a time, each cut to its time, and each with one end."""

from __future__ import annotations

from collections.abc import Callable

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.request_observer import Answer, Reason, RequestObserver
from puffindeck.core.request_table import RequestTable
from puffindeck.core.requests import AttemptId, RequestState
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import AttemptEnded, AttemptEstablished, Event, Outcome, Send


class Attempts:
    """Starts attempts, and ends them by what a front, a deadline or the decision module says."""

    def __init__(
        self,
        requests: RequestTable,
        deadlines: TimerQueue,
        observer: RequestObserver,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._requests = requests
        self._deadlines = deadlines
        self._clock = deadlines.clock
        self._observer = observer
        self._dispatch = dispatch

    def current(self, attempt_id: AttemptId) -> RequestState | None:
        """Return the request of an attempt that is out; None for any other."""
        state = self._requests.get(attempt_id.request)
        if state is None or not state.attempt_active or attempt_id.attempt != state.attempts - 1:
            return None
        return state

    def unanswered(self, attempt_id: AttemptId) -> RequestState | None:
        """Return the request of an attempt that is out, if its server has sent no answer by this moment."""
        state = self.current(attempt_id)
        if state is not None and state.link is not None and not state.established:
            state.link.read_available()
            state = self.current(attempt_id)
        return state if state is not None and not state.established else None

    def start(self, state: RequestState, action: Send) -> None:
        """Start the attempt that the decision module asks for, within the request's deadline."""
        attempt_id = AttemptId(action.request, state.attempts)
        now = self._clock.now()
        until = state.deadline
        if action.timeout_ms:
            until = min(until, now + milliseconds(action.timeout_ms))
        begin = until
        if action.start_within_ms:
            begin = min(until, now + milliseconds(action.start_within_ms))
        state.attempts += 1
        state.attempt_active = True
        state.endpoint = action.endpoint
        state.attempt_started = now
        if until <= now:
            self.ended(attempt_id, Outcome.TIMEOUT)
            return
        self._observer.attempt_began(state.id, action.endpoint, attempt_id.attempt)
        state.attempt_expiry = self._deadlines.at(until, self.expire, attempt_id)
        link = state.client.start_attempt(attempt_id, action.endpoint, until, begin)
        if self.current(attempt_id) is state:
            state.link = link

    def reject_start(self, state: RequestState, action: Send) -> None:
        """Report an attempt as moot: the request is answered, or has an attempt out or none left."""
        attempt = state.attempts
        state.attempts += not state.attempt_active
        self._dispatch(
            AttemptEnded(action.request, Outcome.MOOT, action.endpoint, attempt, state.answered, 0.0)
        )

    def established(self, attempt_id: AttemptId) -> bool:
        """Answer the client by a connection that stands. False if nobody waits for it any more."""
        state = self.current(attempt_id)
        if state is None or state.answered or state.link is None:
            return False
        state.established = True
        state.answered = True
        self._deadlines.cancel(state.attempt_expiry)
        self._deadlines.cancel(state.deadline_guard)
        state.client.on_established(state.link)
        self._observer.answered(state.id, Answer.UP, Reason.SERVED)
        took = to_ms(self._clock.now() - state.attempt_started)
        self._dispatch(AttemptEstablished(attempt_id.request, state.endpoint, took, attempt_id.attempt))
        return True

    def ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Report the end of an attempt, or of the connection that it became. Only the first report counts."""
        state = self.current(attempt_id)
        if state is None:
            return
        state.attempt_active = False
        state.link = None
        self._deadlines.cancel(state.attempt_expiry)
        if outcome == Outcome.OK:
            state.answered = True
        if outcome == Outcome.NO_RESOURCE:
            state.max_attempts += 1  # it reached nobody, and is none of the attempts that are allowed
        took = self._clock.now() - state.attempt_started
        if not state.established:
            self._observer.attempt_ended(state.id, state.endpoint, attempt_id.attempt, outcome, took)
        self._requests.settle(state)
        request, attempt = attempt_id
        self._dispatch(AttemptEnded(request, outcome, state.endpoint, attempt, state.answered, to_ms(took)))

    def expire(self, attempt_id: AttemptId) -> None:
        """End an attempt whose time is up."""
        state = self.unanswered(attempt_id)
        if state is not None:
            self.cut(state, Outcome.TIMEOUT)

    def cut(self, state: RequestState, outcome: Outcome) -> None:
        """End the attempt that is out, and its link."""
        link = state.link
        self.ended(AttemptId(state.number, state.attempts - 1), outcome)
        if link is not None:
            link.abandon()
