"""Resumes a response stream that was migrated, rejected or broken, with a new call for each resumption."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from random import Random
from typing import Any

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.status import is_migrated, retry_after

FIRST_BACKOFF_S = 0.2  # delay after the first broken stream; doubles with each consecutive failure
MAX_BACKOFF_S = 5.0
# Maximum of the random delay after which a migrated stream is requested again. The delays spread the requests
# of streams that are migrated at the same time.
MIGRATION_SPREAD_S = 0.2
MAX_RETRY_AFTER_S = 3600.0  # a longer time counts as gRFC A6's "do not retry"


async def resuming(
    begin: Callable[[Any], Any],
    *,
    tries: int = 8,
    random: Random | None = None,
) -> AsyncGenerator[Any, None]:
    """Yield the messages of a stream, and request the stream again when it is interrupted.

    `begin` is called with the last message received, or None at first, and returns a call with a stream of
    responses. Its request tells the server where to resume. A migrated stream is requested again within
    0.2 s, a rejected stream after its Retry-After time, and a broken stream after an exponential backoff with
    jitter.

    Raises the last AioRpcError after more than `tries` consecutive failures without a message, for any status
    other than UNAVAILABLE, and for a Retry-After time over an hour. Messages can be repeated or lost if a
    server can't resume where `begin` asks it to; the application must handle that.
    """
    jitter = random or Random()
    last: Any = None
    failures = 0  # consecutive failures without a message
    while True:
        call = begin(last)
        try:
            async for last in call:
                failures = 0
                yield last
            return
        except AioRpcError as error:
            pause_s = _pause_s(error, failures, jitter)
            if pause_s is None:
                raise
            failures += 1
            if failures > tries:
                raise
        finally:
            call.cancel()
        await asyncio.sleep(pause_s)


def _pause_s(error: AioRpcError, failures: int, jitter: Random) -> float | None:
    """Return the seconds to wait before the stream is requested again; None if it must not be."""
    if is_migrated(error):
        return MIGRATION_SPREAD_S * jitter.random()
    if error.code() is not grpc.StatusCode.UNAVAILABLE:
        return None
    wait = retry_after(error)
    if wait is not None:
        seconds = wait.total_seconds()
        return seconds if seconds <= MAX_RETRY_AFTER_S else None
    backoff: float = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**failures)
    return backoff * (0.5 + jitter.random())
