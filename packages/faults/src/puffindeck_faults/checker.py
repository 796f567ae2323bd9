"""Every rule of the protocol page, checked on what clients, hosts and discovery saw; a node's own word is not asked.

Sources of the figures: the protocol page ("The rules on sockets", "Figures") and the standing test's page.
"""

from __future__ import annotations

import itertools
import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from puffindeck_faults.records import Attempt, ClientRecord, HostChange, NodeLife, Records

SLACK_S = 0.05  # every time limit is this much longer on sockets; it bears this process's own lateness too
ANSWER_LATE_S = 0.5  # up to this after its time an answer only earns nothing
AFTER_LEFT_S = 0.1  # no attempt is begun later than this after its client has closed
HOST_ENDED_S = 1.0  # a connection that its host has ended is ended within this
SILENT_S = 7.0  # a connection that brings nothing back is ended within this
STAFF_S = 1.0  # a call of staff's counts this long after it at the latest
TOLD_S = 6.0  # what discovery has to tell counts as told so much later
READY_S = 10.0  # nine in ten restarts are ready within this
FEW = 30  # a cold server's N below which its bound is wider


@dataclass(frozen=True)
class Terms:
    """What the settings of a run allow. Times in seconds, capacity in requests a second and host."""

    max_attempts: int = 3
    drain_grace_s: float = 0.5
    sockets: int = 256
    cold_from: float = 0.31
    cold_s: float = 9.0
    overload_factor: float = 3.0
    fall_s: float = 1.0
    capacity: float = math.inf


@dataclass(frozen=True)
class Break:
    """A rule that was broken, when, and by which request if by one."""

    rule: str
    at: float
    what: str
    request: str = ""


def check(records: Records, terms: Terms) -> list[Break]:
    """All breaks, in the order of their times."""
    checker = _Checker(records, terms)
    found = [
        *checker.answers(),
        *checker.attempts(),
        *checker.drains(),
        *checker.slow_start(),
        *checker.connections(),
        *checker.lives(),
    ]
    return sorted(found, key=lambda one: one.at)


class _Checker:
    """One run's records, and what is looked up in them."""

    def __init__(self, records: Records, terms: Terms) -> None:
        self._records, self._terms = records, terms
        self._clients = {client.request: client for client in records.clients}
        self._attempts: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in sorted(records.attempts, key=lambda one: one.first_byte or math.inf):
            if attempt.first_byte is not None:
                self._attempts[attempt.request].append(attempt)
        self._receipts = {one.receipt: one for one in records.attempts if one.receipt}

    def _killed(self, client: ClientRecord) -> bool:
        """Was its node killed with no word before, while it was there?"""
        ends = min(client.ended or math.inf, client.left or math.inf)
        return any(
            life.name == client.node
            and life.killed is not None
            and life.told_to_stop is None
            and (client.connected or 0.0) - SLACK_S <= life.killed <= ends + SLACK_S
            for life in self._records.lives
        )

    # Answers

    def answers(self) -> Iterator[Break]:
        """Each request that was read gets one final answer in time."""
        for client in self._records.clients:
            if client.sent is not None and not self._killed(client):
                yield from self._answer(client, client.sent)

    def _answer(self, client: ClientRecord, sent: float) -> Iterator[Break]:
        due = sent + client.deadline_s + ANSWER_LATE_S + SLACK_S
        if client.answer is None or client.answered is None:
            if client.ended is not None:
                yield Break("lost", client.ended, "closed with no answer", client.request)
            elif client.left is not None and client.left > due:
                yield Break("lost", due, "no answer", client.request)
        elif client.answered > due:
            late = client.answered - sent - client.deadline_s
            yield Break("lost", client.answered, f"answered {late:.2f} s after its time", client.request)
        elif client.answer.startswith("UP"):
            attempt = self._receipts.get(client.answer.partition(" ")[2])
            if attempt is None or attempt.request != client.request:
                yield Break("lost", client.answered, f"no host made {client.answer!r} for it", client.request)

    # Attempts

    def attempts(self) -> Iterator[Break]:
        """One at a time, as many as allowed, none for a client that has gone."""
        for request, attempts in self._attempts.items():
            client = self._clients.get(request)
            if client is None:
                yield Break("lost", attempts[0].connected, f"a first line that no client sent: {request}")
                continue
            yield from self._copies(request, attempts)
            if client.left is not None and client.answer is None:
                for one in attempts:
                    begun = one.first_byte or 0.0
                    if begun > client.left + AFTER_LEFT_S + SLACK_S:
                        late = begun - client.left
                        yield Break("lost", begun, f"begun {late:.2f} s after its client left", request)

    def _copies(self, request: str, attempts: list[Attempt]) -> Iterator[Break]:
        if len(attempts) > self._terms.max_attempts:
            begun = attempts[self._terms.max_attempts].first_byte or 0.0
            yield Break("attempts", begun, f"{len(attempts)} attempts", request)
        read = [one for one in attempts if one.read is not None]
        for before, after in itertools.pairwise(read):
            if (before.closed or math.inf) > (after.read or 0.0) + SLACK_S:
                yield Break("duplicate", after.read or 0.0, f"{before.host} had it still", request)

    # Drains

    def _told(self, change: HostChange, node: str) -> float:
        reachable = change.made
        for begun, over in self._records.unreachable:
            if begun <= reachable < over:
                reachable = over
        return min(change.written.get(node, math.inf), reachable + TOLD_S)

    def drains(self) -> Iterator[Break]:
        """Nothing new at a host whose grace is over."""
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
                late = begun - self._told(before[-1], client.node) - self._terms.drain_grace_s
                if late > SLACK_S:
                    yield Break("drain", begun, f"{one.host}, {late:.2f} s after its grace", request)

    def _detached(self, client: ClientRecord | None, one: Attempt, request: str) -> Iterator[Break]:
        """A host that staff took out counts as out with the yes, or 1 s after the call."""
        begun = one.first_byte or 0.0
        for word in self._records.detachments:
            if client is None or (word.node, word.host) != (client.node, one.host):
                continue
            since = min(word.said_yes or math.inf, word.asked + STAFF_S) + self._terms.drain_grace_s
            if since + SLACK_S < begun < (word.over or math.inf):
                yield Break("drain", begun, f"{one.host} was out for {begun - since:.2f} s", request)

    # Slow start

    def bound(self, age_s: float) -> float:
        """How many requests a host of this age may be sent in the time in which it may fall."""
        terms = self._terms
        warmth = min(1.0, terms.cold_from + (1 - terms.cold_from) * age_s / terms.cold_s)
        allowed = terms.overload_factor * terms.capacity * warmth * terms.fall_s
        if allowed < FEW:
            return allowed + 3 * math.sqrt(allowed) + 3
        return allowed + 2 * math.sqrt(allowed) + 2

    def slow_start(self) -> Iterator[Break]:
        """A host that has started gets no more than its budget from all nodes together."""
        if self._terms.capacity == math.inf:
            return
        for host, starts in self._records.host_starts.items():
            reads = sorted(one.read for one in self._records.attempts if one.host == host and one.read is not None)
            for start in starts:
                cold = [read for read in reads if start <= read < start + self._terms.cold_s]
                for i, read in enumerate(cold):
                    count = sum(read <= other < read + self._terms.fall_s for other in cold[i:])
                    if count > self.bound(read - start):
                        yield Break("failback", read, f"{host} was sent {count} in {self._terms.fall_s:g} s")
                        break

    # Connections that stand

    def connections(self) -> Iterator[Break]:
        """Ended or moved, never cut; none stays silent."""
        for client in self._records.clients:
            if client.answer is None or not client.answer.startswith("UP") or self._killed(client):
                continue
            attempt = self._receipts.get(client.answer.partition(" ")[2])
            if attempt is None:
                continue
            if client.longest_silence_s > SILENT_S + SLACK_S:
                at = (client.unanswered or 0.0) + SILENT_S
                yield Break("lost", at, f"silent for {client.longest_silence_s:.2f} s", client.request)
            yield from self._end(client, attempt)

    def _end(self, client: ClientRecord, attempt: Attempt) -> Iterator[Break]:
        if attempt.ended_by_host:
            ended, left = client.ended, client.left
            closed = attempt.closed or math.inf
            if min(ended or math.inf, left or math.inf) > closed + HOST_ENDED_S + SLACK_S:
                yield Break("lost", closed + HOST_ENDED_S, "not ended though its host had", client.request)
        elif client.ended is not None and not client.moved and client.longest_silence_s < 1.0:
            how = "reset" if client.reset else "ended"
            yield Break("lost", client.ended, f"{how} with no MOVE", client.request)

    # Processes

    def lives(self) -> Iterator[Break]:
        """No process ends by itself; restarts are ready soon; descriptors stay within their limit."""
        slow = [life for life in self._records.lives if (life.ready or math.inf) - life.started > READY_S]
        if 10 * len(slow) > len(self._records.lives):
            yield Break("ready", slow[0].started, f"{len(slow)} starts took over {READY_S:g} s")
        for life in self._records.lives:
            yield from self._life(life)

    def _life(self, life: NodeLife) -> Iterator[Break]:
        if life.exited is not None and life.killed is None and (life.told_to_stop is None or life.code != 0):
            yield Break("crash", life.exited, f"{life.name} ended with code {life.code}")
        if life.most_descriptors > self._terms.sockets:
            yield Break("limit", life.started, f"{life.name} held {life.most_descriptors} descriptors")
