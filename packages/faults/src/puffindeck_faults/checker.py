"""Checks the rules of the protocol page on what clients, hosts and discovery observed, without the nodes' logs.

The limits come from the protocol page ("The rules on sockets", "Figures") and the page on the standing test.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from puffindeck_faults.partial_lines import begins_line_of
from puffindeck_faults.records import Attempt, ClientRecord, HostChange, ProcessRecord, Records

SLACK_S = 0.05  # tolerance added to every time limit, for delays of sockets and of this process
ANSWER_GRACE_S = 0.5  # an answer up to this late is useless to the client, but does not count as lost
AFTER_CLIENT_LEFT_S = 0.1  # maximum delay from a client's close to the start of a new attempt for it
HOST_ENDED_S = 1.0  # maximum time until a connection is closed after its host has closed it
SILENT_S = 7.0  # maximum time until a connection that receives nothing is closed
OPERATOR_CALL_S = 1.0  # maximum time until an operator's call takes effect
NOTIFIED_S = 6.0  # maximum time from a change in discovery until the nodes count as notified
READY_S = 10.0  # time limit for a process to become ready, which nine of ten starts must meet
SMALL_BUDGET = 30  # request budget of a host in slow start below which the tolerance is wider


@dataclass(frozen=True)
class RunLimits:
    """The limits that a run's settings define.

    Times are in seconds. `host_capacity` is the number of requests per second that one host can serve.
    """

    max_attempts: int = 3
    drain_grace_s: float = 0.5
    descriptor_limit: int = 256
    slow_start_initial_fraction: float = 0.31
    slow_start_s: float = 9.0
    slow_start_load_multiple: float = 3.0
    slow_start_window_s: float = 1.0
    host_capacity: float = math.inf


@dataclass(frozen=True)
class Violation:
    """A violation of a rule. `at` is in seconds on the monotonic clock; `request` is empty if none is affected."""

    rule: str
    at: float
    description: str
    request: str = ""


def check(records: Records, limits: RunLimits) -> list[Violation]:
    """Return all violations in the order of their times."""
    checker = _Checker(records, limits)
    violations = [
        *checker.answers(),
        *checker.attempts(),
        *checker.drains(),
        *checker.slow_start(),
        *checker.connections(),
        *checker.processes(),
    ]
    return sorted(violations, key=lambda violation: violation.at)


class _Checker:
    """Checks the records of one run, which it indexes by request and by receipt."""

    def __init__(self, records: Records, limits: RunLimits) -> None:
        self._records = records
        self._limits = limits
        self._clients = {client.request: client for client in records.clients}
        self._attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda one: one.first_byte or math.inf):
            request = self._request_of(attempt)
            if attempt.first_byte is not None and request is not None:
                self._attempts[request].append(attempt)
        self._receipts = {one.receipt: one for one in records.attempts if one.receipt}

    def _request_of(self, attempt: Attempt) -> str | None:
        """Return the request of an attempt, or None if its partial line matches the lines of several clients.

        A node closes an attempt before the end of its first line if the client closes or its deadline passes
        meanwhile. A partial line that matches no client's line is returned as a request that no client has.
        """
        if attempt.request or not attempt.partial_line:
            return attempt.request
        matches = [client.request for client in self._records.clients if begins_line_of(client, attempt.partial_line)]
        if not matches:
            return f"partial line {attempt.partial_line!r}"
        return matches[0] if len(matches) == 1 else None

    def _killed(self, client: ClientRecord) -> bool:
        """Return whether the client's node was killed without SIGTERM while the client was connected."""
        closed = min(client.ended or math.inf, client.left or math.inf)
        return any(
            process_record.name == client.node
            and process_record.killed is not None
            and process_record.terminated is None
            and (client.connected or 0.0) - SLACK_S <= process_record.killed <= closed + SLACK_S
            for process_record in self._records.processes
        )

    # Answers

    def answers(self) -> Iterator[Violation]:
        """Find requests that did not get a valid final answer in time."""
        for client in self._records.clients:
            if client.sent is not None and not self._killed(client):
                yield from self._answer(client, client.sent)

    def _answer(self, client: ClientRecord, sent: float) -> Iterator[Violation]:
        due = sent + client.deadline_s + ANSWER_GRACE_S + SLACK_S
        if client.answer is None or client.answered is None:
            if client.ended is not None:
                yield Violation("lost", client.ended, "connection closed without an answer", client.request)
            elif client.left is not None and client.left > due:
                yield Violation("lost", due, "no answer", client.request)
        elif client.answered > due:
            late = client.answered - sent - client.deadline_s
            yield Violation("lost", client.answered, f"answered {late:.2f} s after its deadline", client.request)
        elif client.answer.startswith("UP"):
            attempt = self._receipts.get(client.answer.partition(" ")[2])
            if attempt is None or attempt.request != client.request:
                yield Violation(
                    "lost", client.answered, f"no host answered {client.answer!r} to this request", client.request
                )

    # Attempts

    def attempts(self) -> Iterator[Violation]:
        """Find concurrent attempts of a request, attempts over the limit, and attempts for clients that have closed."""
        for request, attempts in self._attempts.items():
            client = self._clients.get(request)
            if client is None:
                yield Violation("lost", attempts[0].connected, f"first line that no client sent: {request}")
                continue
            yield from self._concurrent_attempts(request, attempts)
            if client.left is not None and client.answer is None:
                for attempt in attempts:
                    begun = attempt.first_byte or 0.0
                    if begun > client.left + AFTER_CLIENT_LEFT_S + SLACK_S:
                        late = begun - client.left
                        yield Violation("lost", begun, f"attempt begun {late:.2f} s after the client closed", request)

    def _concurrent_attempts(self, request: str, attempts: list[Attempt]) -> Iterator[Violation]:
        if len(attempts) > self._limits.max_attempts:
            begun = attempts[self._limits.max_attempts].first_byte or 0.0
            yield Violation("attempts", begun, f"{len(attempts)} attempts", request)
        read = [attempt for attempt in attempts if attempt.read is not None]
        for before, after in itertools.pairwise(read):
            if (before.closed or math.inf) > (after.read or 0.0) + SLACK_S:
                yield Violation("duplicate", after.read or 0.0, f"attempt at {before.host} still open", request)

    # Drains

    def _notified_at(self, change: HostChange, node: str) -> float:
        """Return the time from which a node counts as notified of a change."""
        reachable = change.made
        for outage in self._records.outages:
            if outage.began <= reachable < outage.ended:
                reachable = outage.ended
        return min(change.sent_to_nodes.get(node, math.inf), reachable + NOTIFIED_S)

    def drains(self) -> Iterator[Violation]:
        """Find attempts at draining, deleted or detached hosts after their grace period."""
        by_host: dict[str, list[HostChange]] = defaultdict(list)
        for change in self._records.changes:
            by_host[change.host].append(change)
        for request, attempts in self._attempts.items():
            client = self._clients.get(request)
            for attempt in attempts if client is not None else ():
                yield from self._detached(client, attempt, request)
                begun = attempt.first_byte or 0.0
                changes = [change for change in by_host[attempt.host] if change.made <= begun]
                if client is None or not changes or changes[-1].state == "SERVING":
                    continue
                late = begun - self._notified_at(changes[-1], client.node) - self._limits.drain_grace_s
                if late > SLACK_S:
                    yield Violation("drain", begun, f"{attempt.host} used {late:.2f} s after its grace period", request)

    def _detached(self, client: ClientRecord | None, attempt: Attempt, request: str) -> Iterator[Violation]:
        """Find an attempt at a detached host; the host counts as detached once confirmed, or 1 s after the call."""
        begun = attempt.first_byte or 0.0
        for detachment in self._records.detachments:
            if client is None or (detachment.node, detachment.host) != (client.node, attempt.host):
                continue
            detached = min(detachment.confirmed or math.inf, detachment.requested + OPERATOR_CALL_S)
            grace_ends = detached + self._limits.drain_grace_s
            if grace_ends + SLACK_S < begun < (detachment.ended or math.inf):
                yield Violation(
                    "drain",
                    begun,
                    f"detached {attempt.host} used {begun - grace_ends:.2f} s after its grace period",
                    request,
                )

    # Slow start

    def slow_start_bound(self, age_s: float) -> float:
        """Return the maximum requests in a slow-start window that begins `age_s` after the start of a host."""
        limits = self._limits
        initial = limits.slow_start_initial_fraction
        fraction = min(1.0, initial + (1 - initial) * age_s / limits.slow_start_s)
        budget = limits.slow_start_load_multiple * limits.host_capacity * fraction * limits.slow_start_window_s
        if budget < SMALL_BUDGET:
            return budget + 3 * math.sqrt(budget) + 3
        return budget + 2 * math.sqrt(budget) + 2

    def slow_start(self) -> Iterator[Violation]:
        """Find hosts in slow start that received more requests from all nodes together than their budget."""
        if self._limits.host_capacity == math.inf:
            return
        for host, starts in self._records.host_starts.items():
            reads = sorted(
                attempt.read for attempt in self._records.attempts if attempt.host == host and attempt.read is not None
            )
            for start in starts:
                yield from self._slow_start_of(host, start, reads)

    def _slow_start_of(self, host: str, start: float, reads: list[float]) -> Iterator[Violation]:
        """Find the first violation after one start of a host. `reads` are the times of its requests, in order."""
        window_s = self._limits.slow_start_window_s
        in_slow_start = [read for read in reads if start <= read < start + self._limits.slow_start_s]
        for i, read in enumerate(in_slow_start):
            count = sum(read <= other < read + window_s for other in in_slow_start[i:])
            if count > self.slow_start_bound(read - start):
                yield Violation("failback", read, f"{host} in slow start received {count} requests in {window_s:g} s")
                return

    # Open connections

    def connections(self) -> Iterator[Violation]:
        """Find connections that were closed without MOVE, outlived their host's close, or were silent for too long."""
        for client in self._records.clients:
            if client.answer is None or not client.answer.startswith("UP") or self._killed(client):
                continue
            attempt = self._receipts.get(client.answer.partition(" ")[2])
            if attempt is None:
                continue
            if client.longest_silence_s > SILENT_S + SLACK_S:
                at = (client.unanswered_since or 0.0) + SILENT_S
                yield Violation("lost", at, f"silent for {client.longest_silence_s:.2f} s", client.request)
            yield from self._connection_end(client, attempt)

    def _connection_end(self, client: ClientRecord, attempt: Attempt) -> Iterator[Violation]:
        if attempt.ended_by_host:
            ended, left = client.ended, client.left
            closed = attempt.closed or math.inf
            if min(ended or math.inf, left or math.inf) > closed + HOST_ENDED_S + SLACK_S:
                yield Violation(
                    "lost", closed + HOST_ENDED_S, "connection not closed after its host closed it", client.request
                )
        elif client.ended is not None and not client.migrated and client.longest_silence_s < 1.0:
            how = "reset" if client.reset else "closed"
            yield Violation("lost", client.ended, f"connection {how} without MOVE", client.request)

    # Processes

    def processes(self) -> Iterator[Violation]:
        """Find processes that exited on their own, became ready too late, or exceeded their descriptor limit."""
        records = self._records.processes
        slow = [record for record in records if (record.ready or math.inf) - record.started > READY_S]
        if 10 * len(slow) > len(records):
            yield Violation("ready", slow[0].started, f"{len(slow)} starts took longer than {READY_S:g} s")
        for record in records:
            yield from self._process(record)

    def _process(self, record: ProcessRecord) -> Iterator[Violation]:
        failed = record.terminated is None or record.exit_code != 0
        if record.exited is not None and record.killed is None and failed:
            yield Violation("crash", record.exited, f"{record.name} exited with code {record.exit_code}")
        if record.peak_descriptors > self._limits.descriptor_limit:
            yield Violation("limit", record.started, f"{record.name} had {record.peak_descriptors} open descriptors")
