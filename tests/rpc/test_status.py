"""Tests of statuses that the plug-in creates, and of their Retry-After time."""

from __future__ import annotations

from datetime import timedelta

import grpc

from puffindeck.core.clock import ZERO
from puffindeck.rpc.status import FinalStatus, failed, is_migrated, rejected, retry_after


def test_rejection_carries_retry_after_as_pushback_and_as_retry_info() -> None:
    error = rejected(timedelta(milliseconds=730), 2).error()
    assert retry_after(error) == timedelta(milliseconds=730)
    with_retry_info_only = FinalStatus(
        error.code(), "", tuple((k, v) for k, v in error.trailing_metadata() if k.endswith("-bin"))
    ).error()
    assert retry_after(with_retry_info_only) == timedelta(milliseconds=730)
    assert retry_after(rejected(ZERO, 0).error()) is None
    assert (
        retry_after(FinalStatus(error.code(), "", (("grpc-retry-pushback-ms", "-1"),)).error())
        == timedelta.max
    )
    assert (
        retry_after(FinalStatus(error.code(), "", (("grpc-status-details-bin", b"\xff\xff"),)).error())
        is None
    )


def test_failure_has_status_of_last_server() -> None:
    last = FinalStatus(grpc.StatusCode.UNAVAILABLE, "server 3 says so", (("a", "b"),))
    error = failed(3, False, last).error()
    assert error.details() == "server 3 says so"
    assert tuple(error.trailing_metadata()) == (("a", "b"), ("puffindeck-attempts", "3"))
    assert failed(1, True, last).code.name == "DEADLINE_EXCEEDED"
    assert not is_migrated(error)
