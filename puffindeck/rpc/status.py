"""Final statuses that the client creates itself, and the Retry-After times that statuses carry."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, NamedTuple

import grpc
from google.protobuf.duration_pb2 import Duration
from google.protobuf.message import DecodeError
from google.rpc import code_pb2, error_details_pb2, status_pb2
from grpc.aio import AioRpcError, Metadata

from puffindeck.core.clock import ZERO, to_ms

MIGRATED_TRAILER = "puffindeck-moved"  # the stream was ended to be resumed at another server
PUSHBACK_TRAILER = "grpc-retry-pushback-ms"  # gRFC A6: time until a retry, in milliseconds
STATUS_DETAILS_TRAILER = "grpc-status-details-bin"  # a serialized google.rpc.Status
ATTEMPTS_TRAILER = "puffindeck-attempts"  # the number of attempts made


class FinalStatus(NamedTuple):
    """The result of a call: status code, status text and metadata."""

    code: grpc.StatusCode
    details: str = ""
    trailing: tuple[tuple[str, Any], ...] = ()
    initial: tuple[tuple[str, Any], ...] = ()

    def error(self) -> AioRpcError:
        """Return the exception to raise to the caller."""
        return AioRpcError(self.code, Metadata(*self.initial), Metadata(*self.trailing), self.details)


OK = FinalStatus(grpc.StatusCode.OK)
CANCELLED = FinalStatus(grpc.StatusCode.CANCELLED, "Locally cancelled by application!")  # gRPC's own text
CHANNEL_CLOSED = FinalStatus(grpc.StatusCode.CANCELLED, "Channel closed.")
DEADLINE_EXCEEDED = FinalStatus(grpc.StatusCode.DEADLINE_EXCEEDED, "Deadline Exceeded")
MIGRATED = FinalStatus(grpc.StatusCode.UNAVAILABLE, "moved: ask again", ((MIGRATED_TRAILER, "1"),))
TOO_MANY_CALLS = FinalStatus(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many calls are open in this process")


def rejected(
    retry_after: timedelta, attempts: int, last_details: str = "", deadline_passed: bool = False
) -> FinalStatus:
    """Return a status for a rejected call, which the caller may safely retry.

    A `retry_after` over zero is sent in gRPC's pushback trailer (gRFC A6) and, for other libraries, as
    google.rpc.RetryInfo in the status details. `last_details` is the status text of the last server tried.
    """
    if deadline_passed:
        code = DEADLINE_EXCEEDED.code
        text = DEADLINE_EXCEEDED.details
    else:
        code = grpc.StatusCode.UNAVAILABLE
        text = "refused: no server may take the call now"
    if last_details:
        text += f"; the last one said: {last_details}"
    trailing: list[tuple[str, Any]] = [(ATTEMPTS_TRAILER, str(attempts))]
    if retry_after > ZERO:
        trailing.append((PUSHBACK_TRAILER, f"{to_ms(retry_after):.0f}"))
        trailing.append((STATUS_DETAILS_TRAILER, _retry_info(code, text, retry_after)))
    return FinalStatus(code, text, tuple(trailing))


def _retry_info(code: grpc.StatusCode, text: str, retry_after: timedelta) -> bytes:
    """Return a serialized google.rpc.Status that contains a google.rpc.RetryInfo."""
    info = error_details_pb2.RetryInfo(retry_delay=Duration())
    info.retry_delay.FromTimedelta(retry_after)
    status = status_pb2.Status(code=code_pb2.Code.Value(code.name), message=text)
    status.details.add().Pack(info)
    serialized: bytes = status.SerializeToString()
    return serialized


def failed(attempts: int, deadline_passed: bool, last: FinalStatus | None) -> FinalStatus:
    """Return a status for a call that a server may have run: the last server's own status if it sent one."""
    attempts_trailer = ((ATTEMPTS_TRAILER, str(attempts)),)
    if deadline_passed:
        return FinalStatus(DEADLINE_EXCEEDED.code, DEADLINE_EXCEEDED.details, attempts_trailer)
    if last is not None:
        return last._replace(trailing=last.trailing + attempts_trailer)
    return FinalStatus(
        grpc.StatusCode.UNAVAILABLE, "failed: a server may have run the call", attempts_trailer
    )


def retry_after(error: AioRpcError) -> timedelta | None:
    """Return the time until a retry that an error carries: its pushback, or else its RetryInfo.

    Returns None if it has neither. Returns timedelta.max if the pushback is negative or not a number, which
    forbids retries (gRFC A6).
    """
    trailing = error.trailing_metadata() or Metadata()
    pushback = trailing.get(PUSHBACK_TRAILER)
    if pushback is not None:
        return _pushback_time(pushback)
    details = trailing.get(STATUS_DETAILS_TRAILER)
    return _retry_info_time(details) if isinstance(details, bytes) else None


def _pushback_time(pushback: str | bytes) -> timedelta:
    text = pushback.decode("ascii", "replace") if isinstance(pushback, bytes) else pushback
    return timedelta(milliseconds=int(text)) if text.isascii() and text.isdigit() else timedelta.max


def _retry_info_time(serialized: bytes) -> timedelta | None:
    """Return the RetryInfo time in a serialized google.rpc.Status; None if it is invalid or has none."""
    status = status_pb2.Status()
    info = error_details_pb2.RetryInfo()
    try:
        status.ParseFromString(serialized)
    except (DecodeError, ValueError):
        return None
    for detail in status.details:
        if detail.Unpack(info):
            delay: timedelta = info.retry_delay.ToTimedelta()
            return delay
    return None


def is_migrated(error: AioRpcError) -> bool:
    """Return whether the call was ended to be resumed at another server."""
    return MIGRATED_TRAILER in (error.trailing_metadata() or Metadata())
