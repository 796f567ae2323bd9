"""A stream that goes on: requested again where it ended, when it was migrated, rejected or broken off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from random import Random
from typing import Any

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.status import is_migrated, retry_after

FIRST_BACKOFF_S = 0.2  # the pause after a stream that broke; doubled with each further one
MAX_BACKOFF_S = 5.0
MIGRATION_SPREAD_S = 0.2  # a migrated stream is requested again within this: others may have migrated too
MAX_RETRY_AFTER_S = 3600.0  # a longer one is "never" by gRPC's A6, or as good as


async def resuming(
    begin: Callable[[Any], Any],
    *,
    tries: int = 8,
    random: Random | None = None,
) -> AsyncGenerator[Any, None]:
    """The messages of a stream, over as many streams as it takes.

    `begin` is called with the last message received (None at first) and returns a call with a stream of
    responses; it says in its request where to go on. A stream that was migrated is requested again at once, a
    rejected one when its Retry-After says, a broken one after a backoff. After `tries` in a row without any
    message, or for any other status, the last AioRpcError is raised. Messages may come twice or be left out
    where a server can't go on from what `begin` requests: that is between the two.
    """
    jitter = random or Random()
    last: Any = None
    failures = 0  # in a row
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
    """Seconds to wait before the stream is requested again; None if it must not be."""
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
