"""The log lines of a request: attempts, its answer and its close, by the client's request id."""

from __future__ import annotations

from typing import Any

from twisted.internet.task import Clock as FakeTimers
from twisted.logger import globalLogPublisher

from puffindeck.core.clock import Clock
from puffindeck.core.request_observer import Answer, Reason
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net import request_log
from puffindeck.net.logs import line
from puffindeck.net.request_log import RequestLog
from tests.support.node_test_case import REQUEST, NodeTestCase


class RequestLogTests(NodeTestCase):
    """Log lines about requests."""

    def record_lines(self) -> list[str]:
        """Return a list that receives each log line about a request, without its prefix."""
        seen: list[str] = []

        def observe(event: Any) -> None:
            text = line(event)
            if text is not None and "request " in text:
                seen.append(text.partition("request ")[2].rstrip())

        observer: Any = observe
        globalLogPublisher.addObserver(observer)
        self.addCleanup(globalLogPublisher.removeObserver, observer)
        return seen

    async def test_a_failed_attempt_a_retry_the_answer_and_the_close_each_have_a_line(self) -> None:
        self.build()
        seen = self.record_lines()
        client = await self.client(REQUEST)
        first, host = await self.accept_attempt()
        await host.line()
        host.write(b"ERR\r\n")
        second, host = await self.accept_attempt(first)
        await host.line()
        host.write(b"UP r1\r\n")
        await client.line()
        host.transport.loseConnection()
        await client.ended()
        await self.wait_until(
            lambda: len(seen) == 5, f"five lines about the request; before the wait: {seen}"
        )
        seen[1] = seen[1].rpartition(" after")[0]
        name = f"{1:016x}"
        self.assertEqual(
            seen,
            [
                f"{name}: attempt 0 at {first}",
                f"{name}: attempt 0 at {first} ended: error",
                f"{name}: attempt 1 at {second}",
                f"{name}: up: the server took it",
                f"{name}: closed: the server ended it",
            ],
        )

    async def test_a_client_that_leaves_and_one_rejected_by_a_stopping_node_have_a_line(self) -> None:
        self.build()
        seen = self.record_lines()
        client = await self.client(REQUEST)
        _, host = await self.accept_attempt()
        await host.line()
        client.transport.loseConnection()
        await host.ended()
        self.node.lifecycle.is_accepting = False
        await (await self.client(REQUEST)).line()
        self.assertIn(f"{1:016x}: closed: the client left", seen)
        self.assertIn(f"{2:016x}: refused: this node stops", seen)


def test_a_burst_of_requests_writes_a_bounded_number_of_lines_and_a_count_of_the_others() -> None:
    written: list[str] = []

    class Lines:
        def info(self, text: str, **values: Any) -> None:
            written.append(text.format(**values))

    class Timers:
        def callLater(self, delay: float, callable: Any) -> Any:
            return FakeTimers().callLater(delay, callable)

    log: Any = Lines()
    requests = RequestLog(log, TimerQueue(Clock(), Timers()), str)
    for number in range(request_log.MAX_LINES + 3):
        requests.answered(str(number), Answer.REJECTED, Reason.DECISION)
    assert len(written) == request_log.MAX_LINES
    requests._answers._report()
    assert written[-1] == "requests: answers: 3 more like these"
