"""Statuses that are made by the plug-in, and their Retry-After time."""

from __future__ import annotations

from datetime import timedelta

import grpc

from puffindeck.core.clock import ZERO
from puffindeck.rpc.status import FinalStatus, failed, is_migrated, rejected, retry_after


def test_a_refusal_tells_when_to_come_back_in_both_ways() -> None:
    error = rejected(timedelta(milliseconds=730), 2).error()
    assert retry_after(error) == timedelta(milliseconds=730)
    rich = FinalStatus(
        error.code(), "", tuple((k, v) for k, v in error.trailing_metadata() if k.endswith("-bin"))
    ).error()
    assert retry_after(rich) == timedelta(milliseconds=730)
    assert retry_after(rejected(ZERO, 0).error()) is None
    assert (
        retry_after(FinalStatus(error.code(), "", (("grpc-retry-pushback-ms", "-1"),)).error())
        == timedelta.max
    )
    assert (
        retry_after(FinalStatus(error.code(), "", (("grpc-status-details-bin", b"\xff\xff"),)).error())
        is None
    )


def test_a_failure_is_what_the_last_server_said() -> None:
    last = FinalStatus(grpc.StatusCode.UNAVAILABLE, "server 3 says so", (("a", "b"),))
    error = failed(3, False, last).error()
    assert error.details() == "server 3 says so"
    assert tuple(error.trailing_metadata()) == (("a", "b"), ("puffindeck-attempts", "3"))
    assert failed(1, True, last).code.name == "DEADLINE_EXCEEDED"
    assert not is_migrated(error)
