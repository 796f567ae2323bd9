"""Log lines about each request, by the client's request id: attempts, answers and closes, with reasons."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from twisted.logger import Logger

from puffindeck.core.clock import to_ms
from puffindeck.core.request_observer import Answer, Reason
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import Outcome
from puffindeck.net.logs import RateLimitedLog

# Lines of one kind per period of `RateLimitedLog`. Further ones are only counted, so that logging a burst of
# requests takes little time.
MAX_LINES = 100


class RequestLog:
    """Logs the engine's reports on requests, with a bounded number of lines of each kind."""

    def __init__(self, log: Logger, deadlines: TimerQueue, endpoint_name: Callable[[int], str]) -> None:
        self._endpoint_name = endpoint_name

        def limited(what: str) -> RateLimitedLog:
            """Return a log at level info for one kind of line, with at most MAX_LINES per period."""
            return RateLimitedLog(log, deadlines, what, MAX_LINES, "info")

        self._attempts = limited("requests: attempts")
        self._ends = limited("requests: ends of attempts")
        self._answers = limited("requests: answers")
        self._closes = limited("requests: closes")

    def attempt_began(self, request: str, endpoint: int, attempt: int) -> None:
        """Log the start of an attempt; a number above 0 is a retry."""
        self._attempts.write(
            "request {id}: attempt {attempt} at {host}",
            id=request,
            attempt=attempt,
            host=self._endpoint_name(endpoint),
        )

    def attempt_ended(
        self, request: str, endpoint: int, attempt: int, outcome: Outcome, took: timedelta
    ) -> None:
        """Log the end of an attempt that did not become a connection."""
        self._ends.write(
            "request {id}: attempt {attempt} at {host} ended: {outcome} after {took_ms} ms",
            id=request,
            attempt=attempt,
            host=self._endpoint_name(endpoint),
            outcome=outcome.name.lower(),
            took_ms=round(to_ms(took)),
        )

    def answered(self, request: str, answer: Answer, why: Reason) -> None:
        """Log the final answer to a request."""
        self._answers.write("request {id}: {answer}: {why}", id=request, answer=answer.value, why=why.value)

    def closed(self, request: str, why: Reason) -> None:
        """Log the end of the request's connection, or that the client left without an answer."""
        self._closes.write("request {id}: closed: {why}", id=request, why=why.value)
