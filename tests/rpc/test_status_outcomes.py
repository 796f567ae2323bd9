"""Tests of the mapping from gRPC statuses to outcomes."""

from __future__ import annotations

import pytest

from puffindeck.interface import NOT_PROCESSED, Outcome
from puffindeck.rpc.status_outcomes import outcome_of_status


@pytest.mark.parametrize(
    ("code", "details", "response_started", "migrated", "expected"),
    [
        (0, "", True, False, Outcome.OK),
        (3, "bad request", False, False, Outcome.OK),
        (16, "who are you", False, False, Outcome.OK),
        (14, "no", False, False, Outcome.ERROR),
        (14, "Socket closed", True, False, Outcome.RESET),
        (14, "", True, True, Outcome.CANCELLED),
        (14, "", False, True, Outcome.CANCELLED),
        (8, "full", False, False, Outcome.FULL),
        (8, "quota", True, False, Outcome.RESET),
        (8, "CLIENT: Received message larger than max (9 vs. 4)", False, False, Outcome.OK),
        (8, "Received RST_STREAM with error code 11", False, False, Outcome.RESET),
        (4, "Deadline Exceeded", False, False, Outcome.TIMEOUT),
        (1, "the server gave up", False, False, Outcome.RESET),
        (13, "Received RST_STREAM with error code 2", False, False, Outcome.RESET),
        (13, "Internal error from Core", False, False, Outcome.RESET),
        (13, "a fault of the application", False, False, Outcome.OK),
        (2, "Stream removed", True, False, Outcome.RESET),
        (2, "an exception", False, False, Outcome.OK),
    ],
)
def test_outcome_of_status(
    code: int, details: str, response_started: bool, migrated: bool, expected: Outcome
) -> None:
    assert outcome_of_status(code, details, response_started, migrated) == expected


def test_only_full_means_that_the_call_was_not_processed() -> None:
    outcomes = {
        outcome_of_status(code, "", response_started)
        for code in range(17)
        for response_started in (False, True)
    }
    assert outcomes & NOT_PROCESSED == {Outcome.FULL}
