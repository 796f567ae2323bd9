"""The checker finds exactly the violation that is inserted into valid records, for each rule."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from puffindeck_faults.checker import RunLimits, check
from puffindeck_faults.records import Attempt, ClientRecord, Detachment, HostChange, Outage, ProcessRecord, Records

LIMITS = RunLimits(host_capacity=2.0)


def valid_records() -> Records:
    """Return records without violations: a client was migrated, one rejected, one closed early, one never connected."""
    records = Records()
    records.processes = [
        ProcessRecord("n0", 0.0, ready=0.5, terminated=60.0, exited=63.0, exit_code=0, peak_descriptors=90)
    ]
    records.clients = [
        ClientRecord(
            "a",
            "n0",
            "chat",
            1.0,
            connected=9.9,
            sent=10.0,
            answer="UP h0-1",
            answered=10.2,
            migrated=True,
            ended=20.0,
            longest_silence_s=0.1,
        ),
        ClientRecord("b", "n0", "chat", 1.0, connected=9.9, sent=10.0, answer="BUSY 100", answered=10.9, ended=11.0),
        ClientRecord("c", "n0", "chat", 1.0, connected=9.9, sent=10.0, left=10.1),
        ClientRecord("d", "n0", "chat", 1.0),  # could not connect
    ]
    for client in records.clients[:3]:
        client.first_line = f"OPEN {client.request} 1f c=chat,d=1000,g=5\r\n"
    records.attempts = [
        Attempt("h0", 10.05, "a", 10.05, 10.06, 10.2, "h0-1", 20.1),
        Attempt("h1", 10.01, "b", 10.02, 10.02, None, "", 10.3),
        Attempt("h2", 10.41, "b", 10.42, 10.42, None, "", 10.8),
        Attempt("h1", 10.02, "c", 10.03, 10.03, None, "", 10.12),
    ]
    records.changes = [HostChange("h0", "DRAINING", 11.0, {"n0": 11.1})]
    records.host_starts = {"h2": [10.0]}
    return records


def attempt_of(records: Records, request: str) -> Attempt:
    return next(one for one in records.attempts if one.request == request)


def no_answer(records: Records) -> None:
    records.clients[1].answer, records.clients[1].ended, records.clients[1].left = None, None, 12.5


def connection_closed_without_answer(records: Records) -> None:
    records.clients[1].answer, records.clients[1].ended = None, 10.4


def answer_after_deadline(records: Records) -> None:
    records.clients[1].answered = 11.6


def answer_that_no_host_sent(records: Records) -> None:
    attempt_of(records, "a").receipt = "h0-2"


def first_line_that_no_client_sent(records: Records) -> None:
    records.attempts.append(Attempt("h1", 12.0, "?", 12.0, 12.0))


def partial_line_of_an_attempt_over_the_limit(records: Records) -> None:
    for i in range(2):
        records.attempts.append(Attempt("h1", 10.81, "", 10.82 + i / 100, closed=10.85, partial_line="OPEN b 1"))


def partial_line_of_an_attempt_after_client_closed(records: Records) -> None:
    records.attempts.append(Attempt("h1", 10.31, "", 10.32, closed=10.4, partial_line="OPEN c 1f"))


def attempt_over_the_limit(records: Records) -> None:
    for i in range(2):
        records.attempts.append(Attempt("h1", 10.81, "b", 10.82 + i / 100, None, None, "", 10.85))


def concurrent_attempts(records: Records) -> None:
    attempt_of(records, "b").closed = 10.6


def attempt_after_client_closed(records: Records) -> None:
    records.attempts.append(Attempt("h1", 10.31, "c", 10.32, 10.32, None, "", 10.4))


def attempt_at_draining_host_after_grace_period(records: Records) -> None:
    records.clients.append(ClientRecord("e", "n0", "chat", 1.0, connected=11.5, sent=11.6, answer="ERR", answered=11.8))
    records.attempts.append(Attempt("h0", 11.7, "e", 11.7, 11.7, None, "", 11.8))


def attempt_at_detached_host(records: Records) -> None:
    records.detachments.append(Detachment("n0", "h1", 11.0, confirmed=11.1, ended=20.0))
    records.clients.append(ClientRecord("e", "n0", "chat", 1.0, connected=11.5, sent=11.6, answer="ERR", answered=11.8))
    records.attempts.append(Attempt("h1", 11.7, "e", 11.7, 11.7, None, "", 11.8))


def too_many_requests_in_slow_start(records: Records) -> None:
    for number in range(9):
        name = f"f{number}"
        records.clients.append(
            ClientRecord(name, "n0", "chat", 1.0, connected=10.4, sent=10.4, answer="ERR", answered=10.6)
        )
        records.attempts.append(Attempt("h2", 10.45, name, 10.45, 10.45, None, "", 10.5))


def connection_closed_without_move(records: Records) -> None:
    records.clients[0].migrated = False


def silent_connection(records: Records) -> None:
    records.clients[0].longest_silence_s, records.clients[0].unanswered_since = 7.3, 12.6


def connection_not_closed_after_its_host(records: Records) -> None:
    attempt_of(records, "a").ended_by_host, attempt_of(records, "a").closed = True, 18.0


def process_exited_on_its_own(records: Records) -> None:
    records.processes[0].terminated = None


def process_ready_too_late(records: Records) -> None:
    records.processes[0].ready = 11.0


def descriptor_limit_exceeded(records: Records) -> None:
    records.processes[0].peak_descriptors = 257


VIOLATIONS: dict[Callable[[Records], None], str] = {
    no_answer: "lost",
    connection_closed_without_answer: "lost",
    answer_after_deadline: "lost",
    answer_that_no_host_sent: "lost",
    first_line_that_no_client_sent: "lost",
    partial_line_of_an_attempt_over_the_limit: "attempts",
    partial_line_of_an_attempt_after_client_closed: "lost",
    attempt_over_the_limit: "attempts",
    concurrent_attempts: "duplicate",
    attempt_after_client_closed: "lost",
    attempt_at_draining_host_after_grace_period: "drain",
    attempt_at_detached_host: "drain",
    too_many_requests_in_slow_start: "failback",
    connection_closed_without_move: "lost",
    silent_connection: "lost",
    connection_not_closed_after_its_host: "lost",
    process_exited_on_its_own: "crash",
    process_ready_too_late: "ready",
    descriptor_limit_exceeded: "limit",
}


def test_valid_records_have_no_violations() -> None:
    assert check(valid_records(), LIMITS) == []


@pytest.mark.parametrize("insert", VIOLATIONS, ids=lambda insert: insert.__name__)
def test_inserted_violation_is_the_only_one_found(insert: Callable[[Records], None]) -> None:
    records = valid_records()
    insert(records)
    assert [violation.rule for violation in check(records, LIMITS)] == [VIOLATIONS[insert]]


def test_unanswered_request_at_a_node_killed_without_sigterm_is_no_violation() -> None:
    records = valid_records()
    connection_closed_without_answer(records)
    records.processes[0].terminated, records.processes[0].killed, records.processes[0].exit_code = None, 10.4, -9
    assert check(records, LIMITS) == []


def test_change_during_an_outage_of_discovery_counts_as_notified_six_seconds_after_its_end() -> None:
    records = valid_records()
    attempt_at_draining_host_after_grace_period(records)
    records.changes[0].sent_to_nodes.clear()
    records.changes[0].made = 4.0
    assert [violation.rule for violation in check(records, LIMITS)] == ["drain"]
    records.outages = [Outage(3.0, 8.0)]
    assert check(records, LIMITS) == []


def records_with_partial_line(received: str) -> Records:
    """Return valid records in which the attempt for `c` was closed after the host had received part of its line."""
    records = valid_records()
    attempt = attempt_of(records, "c")
    attempt.request, attempt.read, attempt.partial_line = "", None, received
    return records


LINE_TO_HOST = "OPEN c 1f c=chat,d=987,g=5\r\n"


@pytest.mark.parametrize("octets", range(1, len(LINE_TO_HOST)))
def test_attempt_closed_within_the_line_of_a_client_is_no_violation(octets: int) -> None:
    assert check(records_with_partial_line(LINE_TO_HOST[:octets]), LIMITS) == []


PARTIAL_LINES_OF_NO_CLIENT = (
    "",
    "X",
    "open",
    "OPEN  ",
    "OPEN z",
    "OPEN d",  # client d has sent no line
    "OPEN cc",
    "OPEN c 2",
    "OPEN c 1f c=chat,d=0",
    "OPEN c 1f c=chat,d=1001",  # more than the client's deadline of 1000 ms
    "OPEN c 1f c=chat,d=x",
    "OPEN c 1f c=chat,d=,",
    "OPEN c 1f c=chat,d=987,g=6",
    "OPEN c 1f c=chat,d=987,g=5\r\r",
    "OPEN c 1f c=chat,d=987,g=5\r\nO",
    "\ufffd",
)


@pytest.mark.parametrize("received", PARTIAL_LINES_OF_NO_CLIENT)
def test_partial_line_that_matches_no_clients_line_is_a_violation(received: str) -> None:
    assert [violation.rule for violation in check(records_with_partial_line(received), LIMITS)] == ["lost"]
