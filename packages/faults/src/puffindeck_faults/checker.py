"""Every rule of the protocol page, checked on what clients, hosts and discovery observed, not on a node's own logs.

Sources of the figures: the protocol page ("The rules on sockets", "Figures") and the standing test's page.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from puffindeck_faults.partial_lines import begins_line_of
from puffindeck_faults.records import Attempt, ClientRecord, HostChange, ProcessRecord, Records

SLACK_S = 0.05  # added to every time limit: sockets, and this process's own delays
ANSWER_GRACE_S = 0.5  # an answer up to so late is worthless, but not lost
AFTER_CLIENT_LEFT_S = 0.1  # no attempt begins later than this after its client has closed
HOST_ENDED_S = 1.0  # a connection that its host has closed is closed within this
SILENT_S = 7.0  # a connection that receives nothing is closed within this
OPERATOR_CALL_S = 1.0  # an operator's call counts so long after it at the latest
NOTIFIED_S = 6.0  # a change counts as notified so long after discovery had it
READY_S = 10.0  # nine in ten restarts are ready within this
SMALL_BUDGET = 30  # of a host in slow start: below this the tolerance is wider


@dataclass(frozen=True)
class RunLimits:
    """What the settings of a run allow. Times in seconds, `host_capacity` in requests a second of one host."""

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
    """A violated rule, when (seconds on the monotonic clock), and the request, if one is concerned."""

    rule: str
    at: float
    description: str
    request: str = ""


def check(records: Records, limits: RunLimits) -> list[Violation]:
    """All violations, in the order of their times."""
    checker = _Checker(records, limits)
    found = [
        *checker.answers(),
        *checker.attempts(),
        *checker.drains(),
        *checker.slow_start(),
        *checker.connections(),
        *checker.processes(),
    ]
    return sorted(found, key=lambda one: one.at)


class _Checker:
    """One run's records, with indexes on them."""

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
        """The request of an attempt; None if that can't be known, as the lines of several clients begin so.

        A node closes an attempt within its first line where the client has left meanwhile or its time is over.
        A part of a line that no client's line begins with is returned as a request that no client has.
        """
        if attempt.request or not attempt.partial_line:
            return attempt.request
        begun = [client.request for client in self._records.clients if begins_line_of(client, attempt.partial_line)]
        if not begun:
            return f"the part {attempt.partial_line!r}"
        return begun[0] if len(begun) == 1 else None

    def _killed(self, client: ClientRecord) -> bool:
        """Was its node killed without SIGTERM while the client was connected?"""
        ends = min(client.ended or math.inf, client.left or math.inf)
        return any(
            process_record.name == client.node
            and process_record.killed is not None
            and process_record.terminated is None
            and (client.connected or 0.0) - SLACK_S <= process_record.killed <= ends + SLACK_S
            for process_record in self._records.processes
        )

    # Answers

    def answers(self) -> Iterator[Violation]:
        """Each request that was read gets one final answer in time."""
        for client in self._records.clients:
            if client.sent is not None and not self._killed(client):
                yield from self._answer(client, client.sent)

    def _answer(self, client: ClientRecord, sent: float) -> Iterator[Violation]:
        due = sent + client.deadline_s + ANSWER_GRACE_S + SLACK_S
        if client.answer is None or client.answered is None:
            if client.ended is not None:
                yield Violation("lost", client.ended, "closed with no answer", client.request)
            elif client.left is not None and client.left > due:
                yield Violation("lost", due, "no answer", client.request)
        elif client.answered > due:
            late = client.answered - sent - client.deadline_s
            yield Violation("lost", client.answered, f"answered {late:.2f} s after its time", client.request)
        elif client.answer.startswith("UP"):
            attempt = self._receipts.get(client.answer.partition(" ")[2])
            if attempt is None or attempt.request != client.request:
                yield Violation("lost", client.answered, f"no host made {client.answer!r} for it", client.request)

    # Attempts

    def attempts(self) -> Iterator[Violation]:
        """One at a time, at most as many as allowed, none for a client that has left."""
        for request, attempts in self._attempts.items():
            client = self._clients.get(request)
            if client is None:
                yield Violation("lost", attempts[0].connected, f"a first line that no client sent: {request}")
                continue
            yield from self._concurrent_attempts(request, attempts)
            if client.left is not None and client.answer is None:
                for one in attempts:
                    begun = one.first_byte or 0.0
                    if begun > client.left + AFTER_CLIENT_LEFT_S + SLACK_S:
                        late = begun - client.left
                        yield Violation("lost", begun, f"begun {late:.2f} s after its client left", request)

    def _concurrent_attempts(self, request: str, attempts: list[Attempt]) -> Iterator[Violation]:
        if len(attempts) > self._limits.max_attempts:
            begun = attempts[self._limits.max_attempts].first_byte or 0.0
            yield Violation("attempts", begun, f"{len(attempts)} attempts", request)
        read = [one for one in attempts if one.read is not None]
        for before, after in itertools.pairwise(read):
            if (before.closed or math.inf) > (after.read or 0.0) + SLACK_S:
                yield Violation("duplicate", after.read or 0.0, f"{before.host} still had it", request)

    # Drains

    def _notified_at(self, change: HostChange, node: str) -> float:
        reachable = change.made
        for outage in self._records.outages:
            if outage.began <= reachable < outage.ended:
                reachable = outage.ended
        return min(change.sent_to_nodes.get(node, math.inf), reachable + NOTIFIED_S)

    def drains(self) -> Iterator[Violation]:
        """No new attempt at a host after its grace period."""
        by_host: dict[str, list[HostChange]] = defaultdict(list)
        for change in self._records.changes:
            by_host[change.host].append(change)
        for request, attempts in self._attempts.items():
            client = self._clients.get(request)
            for one in attempts if client is not None else ():
                yield from self._detached(client, one, request)
                begun = one.first_byte or 0.0
                before = [change for change in by_host[one.host] if change.made <= begun]
                if client is None or not before or before[-1].state == "SERVING":
                    continue
                late = begun - self._notified_at(before[-1], client.node) - self._limits.drain_grace_s
                if late > SLACK_S:
                    yield Violation("drain", begun, f"{one.host}, {late:.2f} s after its grace period", request)

    def _detached(self, client: ClientRecord | None, one: Attempt, request: str) -> Iterator[Violation]:
        """A host counts as detached from the confirmation on, or 1 s after the call."""
        begun = one.first_byte or 0.0
        for detachment in self._records.detachments:
            if client is None or (detachment.node, detachment.host) != (client.node, one.host):
                continue
            counts_from = min(detachment.confirmed or math.inf, detachment.requested + OPERATOR_CALL_S)
            grace_ends = counts_from + self._limits.drain_grace_s
            if grace_ends + SLACK_S < begun < (detachment.ended or math.inf):
                yield Violation("drain", begun, f"{one.host} was detached for {begun - grace_ends:.2f} s", request)

    # Slow start

    def slow_start_bound(self, age_s: float) -> float:
        """The most requests within the slow-start window to a host so many seconds after its start."""
        limits = self._limits
        first = limits.slow_start_initial_fraction
        warm_fraction = min(1.0, first + (1 - first) * age_s / limits.slow_start_s)
        allowed = limits.slow_start_load_multiple * limits.host_capacity * warm_fraction * limits.slow_start_window_s
        if allowed < SMALL_BUDGET:
            return allowed + 3 * math.sqrt(allowed) + 3
        return allowed + 2 * math.sqrt(allowed) + 2

    def slow_start(self) -> Iterator[Violation]:
        """A host in slow start gets no more than its budget from all nodes together."""
        if self._limits.host_capacity == math.inf:
            return
        for host, starts in self._records.host_starts.items():
            reads = sorted(one.read for one in self._records.attempts if one.host == host and one.read is not None)
            for start in starts:
                yield from self._slow_start_of(host, start, reads)

    def _slow_start_of(self, host: str, start: float, reads: list[float]) -> Iterator[Violation]:
        """The first violation after one start of a host; `reads` are the times of its requests."""
        window_s = self._limits.slow_start_window_s
        early = [read for read in reads if start <= read < start + self._limits.slow_start_s]
        for i, read in enumerate(early):
            count = sum(read <= other < read + window_s for other in early[i:])
            if count > self.slow_start_bound(read - start):
                yield Violation("failback", read, f"{host} was sent {count} in {window_s:g} s")
                return

    # Open connections

    def connections(self) -> Iterator[Violation]:
        """Closed in order or migrated, never cut; none stays silent."""
        for client in self._records.clients:
            if client.answer is None or not client.answer.startswith("UP") or self._killed(client):
                continue
            attempt = self._receipts.get(client.answer.partition(" ")[2])
            if attempt is None:
                continue
            if client.longest_silence_s > SILENT_S + SLACK_S:
                at = (client.unanswered_since or 0.0) + SILENT_S
                yield Violation("lost", at, f"silent for {client.longest_silence_s:.2f} s", client.request)
            yield from self._end(client, attempt)

    def _end(self, client: ClientRecord, attempt: Attempt) -> Iterator[Violation]:
        if attempt.ended_by_host:
            ended, left = client.ended, client.left
            closed = attempt.closed or math.inf
            if min(ended or math.inf, left or math.inf) > closed + HOST_ENDED_S + SLACK_S:
                yield Violation("lost", closed + HOST_ENDED_S, "not closed though its host had", client.request)
        elif client.ended is not None and not client.migrated and client.longest_silence_s < 1.0:
            how = "reset" if client.reset else "closed"
            yield Violation("lost", client.ended, f"{how} without MOVE", client.request)

    # Processes

    def processes(self) -> Iterator[Violation]:
        """No process ends by itself; restarts are ready in time; descriptors stay within their limit."""
        records = self._records.processes
        slow = [record for record in records if (record.ready or math.inf) - record.started > READY_S]
        if 10 * len(slow) > len(records):
            yield Violation("ready", slow[0].started, f"{len(slow)} starts took over {READY_S:g} s")
        for record in records:
            yield from self._process(record)

    def _process(self, record: ProcessRecord) -> Iterator[Violation]:
        exited_by_itself = record.terminated is None or record.exit_code != 0
        if record.exited is not None and record.killed is None and exited_by_itself:
            yield Violation("crash", record.exited, f"{record.name} ended with code {record.exit_code}")
        if record.peak_descriptors > self._limits.descriptor_limit:
            yield Violation("limit", record.started, f"{record.name} held {record.peak_descriptors} descriptors")
