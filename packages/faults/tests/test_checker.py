"""The checker finds each rule's violation, inserted once into valid records, and only it."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from puffindeck_faults.checker import RunLimits, check
from puffindeck_faults.records import Attempt, ClientRecord, Detachment, HostChange, Outage, ProcessRecord, Records

TERMS = RunLimits(host_capacity=2.0)


def valid() -> Records:
    """A node that served three clients well: one migrated, one rejected, one that left early."""
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
        ClientRecord("d", "n0", "chat", 1.0),  # no connection came up
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


def attempt(records: Records, request: str) -> Attempt:
    return next(one for one in records.attempts if one.request == request)


def no_answer(records: Records) -> None:
    records.clients[1].answer, records.clients[1].ended, records.clients[1].left = None, None, 12.5


def closed_unanswered(records: Records) -> None:
    records.clients[1].answer, records.clients[1].ended = None, 10.4


def answered_late(records: Records) -> None:
    records.clients[1].answered = 11.6


def another_receipt(records: Records) -> None:
    attempt(records, "a").receipt = "h0-2"


def strange_first_line(records: Records) -> None:
    records.attempts.append(Attempt("h1", 12.0, "?", 12.0, 12.0))


def closed_within_the_line_of_one_attempt_too_many(records: Records) -> None:
    for place in range(2):
        records.attempts.append(Attempt("h1", 10.81, "", 10.82 + place / 100, closed=10.85, partial_line="OPEN b 1"))


def begun_for_nobody_and_closed_within_its_line(records: Records) -> None:
    records.attempts.append(Attempt("h1", 10.31, "", 10.32, closed=10.4, partial_line="OPEN c 1f"))


def one_attempt_too_many(records: Records) -> None:
    for place in range(2):
        records.attempts.append(Attempt("h1", 10.81, "b", 10.82 + place / 100, None, None, "", 10.85))


def second_copy(records: Records) -> None:
    attempt(records, "b").closed = 10.6


def begun_for_nobody(records: Records) -> None:
    records.attempts.append(Attempt("h1", 10.31, "c", 10.32, 10.32, None, "", 10.4))


def after_the_grace(records: Records) -> None:
    records.clients.append(ClientRecord("e", "n0", "chat", 1.0, connected=11.5, sent=11.6, answer="ERR", answered=11.8))
    records.attempts.append(Attempt("h0", 11.7, "e", 11.7, 11.7, None, "", 11.8))


def at_a_host_that_staff_took_out(records: Records) -> None:
    records.detachments.append(Detachment("n0", "h1", 11.0, confirmed=11.1, ended=20.0))
    records.clients.append(ClientRecord("e", "n0", "chat", 1.0, connected=11.5, sent=11.6, answer="ERR", answered=11.8))
    records.attempts.append(Attempt("h1", 11.7, "e", 11.7, 11.7, None, "", 11.8))


def too_many_at_a_cold_host(records: Records) -> None:
    for number in range(9):
        name = f"f{number}"
        records.clients.append(
            ClientRecord(name, "n0", "chat", 1.0, connected=10.4, sent=10.4, answer="ERR", answered=10.6)
        )
        records.attempts.append(Attempt("h2", 10.45, name, 10.45, 10.45, None, "", 10.5))


def cut(records: Records) -> None:
    records.clients[0].migrated = False


def silent(records: Records) -> None:
    records.clients[0].longest_silence_s, records.clients[0].unanswered_since = 7.3, 12.6


def not_ended_with_its_host(records: Records) -> None:
    attempt(records, "a").ended_by_host, attempt(records, "a").closed = True, 18.0


def crash(records: Records) -> None:
    records.processes[0].terminated = None


def slow_start_of_a_process(records: Records) -> None:
    records.processes[0].ready = 11.0


def too_many_descriptors(records: Records) -> None:
    records.processes[0].peak_descriptors = 257


VIOLATIONS: dict[Callable[[Records], None], str] = {
    no_answer: "lost",
    closed_unanswered: "lost",
    answered_late: "lost",
    another_receipt: "lost",
    strange_first_line: "lost",
    closed_within_the_line_of_one_attempt_too_many: "attempts",
    begun_for_nobody_and_closed_within_its_line: "lost",
    one_attempt_too_many: "attempts",
    second_copy: "duplicate",
    begun_for_nobody: "lost",
    after_the_grace: "drain",
    at_a_host_that_staff_took_out: "drain",
    too_many_at_a_cold_host: "failback",
    cut: "lost",
    silent: "lost",
    not_ended_with_its_host: "lost",
    crash: "crash",
    slow_start_of_a_process: "ready",
    too_many_descriptors: "limit",
}


def test_sound_records_break_nothing() -> None:
    assert check(valid(), TERMS) == []


@pytest.mark.parametrize("insert", VIOLATIONS, ids=lambda insert: insert.__name__)
def test_a_planted_break_is_found_and_only_it(insert: Callable[[Records], None]) -> None:
    records = valid()
    insert(records)
    assert [one.rule for one in check(records, TERMS)] == [VIOLATIONS[insert]]


def test_a_request_at_a_node_that_was_killed_with_no_word_is_not_held_against_it() -> None:
    records = valid()
    closed_unanswered(records)
    records.processes[0].terminated, records.processes[0].killed, records.processes[0].exit_code = None, 10.4, -9
    assert check(records, TERMS) == []


def test_a_change_while_discovery_was_down_counts_as_told_six_seconds_after_its_return() -> None:
    records = valid()
    after_the_grace(records)
    records.changes[0].sent_to_nodes.clear()
    records.changes[0].made = 4.0
    assert [one.rule for one in check(records, TERMS)] == ["drain"]
    records.outages = [Outage(3.0, 8.0)]
    assert check(records, TERMS) == []


def closed_within(received: str) -> Records:
    """Valid records, but that one attempt for `c` was closed when so much of its line had come."""
    records = valid()
    one = attempt(records, "c")
    one.request, one.read, one.partial_line = "", None, received
    return records


LINE_TO_HOST = "OPEN c 1f c=chat,d=987,g=5\r\n"


@pytest.mark.parametrize("octets", range(1, len(LINE_TO_HOST)))
def test_an_attempt_that_was_closed_within_a_clients_line_is_no_violation(octets: int) -> None:
    assert check(closed_within(LINE_TO_HOST[:octets]), TERMS) == []


OTHER_PARTS = (
    "",
    "X",
    "open",
    "OPEN  ",
    "OPEN z",
    "OPEN d",  # which has sent no line
    "OPEN cc",
    "OPEN c 2",
    "OPEN c 1f c=chat,d=0",
    "OPEN c 1f c=chat,d=1001",  # more than the client has
    "OPEN c 1f c=chat,d=x",
    "OPEN c 1f c=chat,d=,",
    "OPEN c 1f c=chat,d=987,g=6",
    "OPEN c 1f c=chat,d=987,g=5\r\r",
    "OPEN c 1f c=chat,d=987,g=5\r\nO",
    "\ufffd",
)


@pytest.mark.parametrize("received", OTHER_PARTS)
def test_a_part_of_a_line_that_no_clients_line_begins_with_is_a_violation(received: str) -> None:
    assert [one.rule for one in check(closed_within(received), TERMS)] == ["lost"]
