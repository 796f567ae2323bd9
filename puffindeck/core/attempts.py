"""Attempts of requests: a request has at most one active attempt, and each attempt ends exactly once."""

from __future__ import annotations

from collections.abc import Callable

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.request_observer import Answer, Reason, RequestObserver
from puffindeck.core.request_table import RequestTable
from puffindeck.core.requests import AttemptId, RequestState
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import AttemptEnded, AttemptEstablished, Event, Outcome, Send


class Attempts:
    """Starts attempts, and ends them when a front, a deadline or the decision module requires it."""

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

    def find_active(self, attempt_id: AttemptId) -> RequestState | None:
        """Return the request of an active attempt; None if the attempt has ended or is unknown."""
        state = self._requests.get(attempt_id.request)
        if state is None or not state.attempt_active or attempt_id.attempt != state.attempts - 1:
            return None
        return state

    def find_unanswered(self, attempt_id: AttemptId) -> RequestState | None:
        """Return the request of an active attempt whose server has not answered yet; None otherwise.

        Reads first what the server has sent, so that an answer that waits in the socket's buffer counts.
        """
        state = self.find_active(attempt_id)
        if state is not None and state.link is not None and not state.established:
            state.link.read_available()
            state = self.find_active(attempt_id)
        return state if state is not None and not state.established else None

    def start(self, state: RequestState, action: Send) -> None:
        """Start the attempt that the decision module requests, limited by the request's deadline."""
        attempt_id = AttemptId(action.request, state.attempts)
        now = self._clock.now()
        answer_deadline = state.deadline
        if action.timeout_ms:
            answer_deadline = min(answer_deadline, now + milliseconds(action.timeout_ms))
        start_deadline = answer_deadline
        if action.start_within_ms:
            start_deadline = min(answer_deadline, now + milliseconds(action.start_within_ms))
        state.attempts += 1
        state.attempt_active = True
        state.endpoint = action.endpoint
        state.attempt_started = now
        if answer_deadline <= now:
            self.report_ended(attempt_id, Outcome.TIMEOUT)
            return
        self._observer.attempt_began(state.id, action.endpoint, attempt_id.attempt)
        state.attempt_expiry = self._deadlines.at(answer_deadline, self.expire, attempt_id)
        link = state.client.start_attempt(attempt_id, action.endpoint, answer_deadline, start_deadline)
        if self.find_active(attempt_id) is state:
            state.link = link

    def reject_start(self, state: RequestState, action: Send) -> None:
        """Report an attempt as moot: its request is answered, has an active attempt or no attempts left."""
        attempt = state.attempts
        state.attempts += not state.attempt_active
        self._dispatch(
            AttemptEnded(action.request, Outcome.MOOT, action.endpoint, attempt, state.answered, 0.0)
        )

    def report_established(self, attempt_id: AttemptId) -> bool:
        """Notify the client that its connection is established.

        Returns False if the attempt is no longer active or its request is already answered.
        """
        state = self.find_active(attempt_id)
        if state is None or state.answered or state.link is None:
            return False
        state.established = True
        state.answered = True
        self._deadlines.cancel(state.attempt_expiry)
        self._deadlines.cancel(state.deadline_guard)
        state.client.on_established(state.link)
        self._observer.answered(state.id, Answer.UP, Reason.SERVED)
        elapsed_ms = to_ms(self._clock.now() - state.attempt_started)
        self._dispatch(AttemptEstablished(attempt_id.request, state.endpoint, elapsed_ms, attempt_id.attempt))
        return True

    def report_ended(self, attempt_id: AttemptId, outcome: Outcome) -> None:
        """Report the end of an attempt or of its connection. Reports after the first are ignored."""
        state = self.find_active(attempt_id)
        if state is None:
            return
        state.attempt_active = False
        state.link = None
        self._deadlines.cancel(state.attempt_expiry)
        if outcome == Outcome.OK:
            state.answered = True
        if outcome == Outcome.NO_RESOURCE:
            state.max_attempts += 1  # the attempt reached no server and does not count towards the limit
        elapsed = self._clock.now() - state.attempt_started
        if not state.established:
            self._observer.attempt_ended(state.id, state.endpoint, attempt_id.attempt, outcome, elapsed)
        self._requests.release_if_complete(state)
        request, attempt = attempt_id
        self._dispatch(
            AttemptEnded(request, outcome, state.endpoint, attempt, state.answered, to_ms(elapsed))
        )

    def expire(self, attempt_id: AttemptId) -> None:
        """End an attempt whose deadline has passed."""
        state = self.find_unanswered(attempt_id)
        if state is not None:
            self.terminate(state, Outcome.TIMEOUT)

    def terminate(self, state: RequestState, outcome: Outcome) -> None:
        """End the active attempt and close its link."""
        link = state.link
        self.report_ended(AttemptId(state.number, state.attempts - 1), outcome)
        if link is not None:
            link.abandon()
