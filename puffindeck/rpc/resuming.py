"""A stream that goes on: asked for again where it ended, when it was moved, refused for a time, or broke."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from random import Random
from typing import Any

import grpc
from grpc.aio import AioRpcError

from puffindeck.rpc.status import comes_back, moved

PAUSE_S, MOST_S = 0.2, 5.0  # the first pause after a stream that broke, and the longest
MOVED_S = 0.2  # a moved client comes again within this, spread out: the others may have been moved too


async def resuming(
    begin: Callable[[Any], Any],
    *,
    tries: int = 8,
    random: Random | None = None,
) -> AsyncGenerator[Any, None]:
    """The messages of a stream, over as many streams as it takes.

    `begin` is called with the last message had (None at first) and returns a call with a stream of answers;
    it says in its request where to go on. A stream that was moved is asked for again at once, a refused one
    when the refusal says, a broken one after a pause that grows. After `tries` in a row without any
    message, or for any other status, the last error is raised. Messages may come twice or be left out where
    a server can't go on from what `begin` tells it: that is between the two.
    """
    lot = random or Random()
    last: Any = None
    failed = 0
    while True:
        call = begin(last)
        try:
            async for last in call:
                failed = 0
                yield last
            return
        except AioRpcError as error:
            wait = comes_back(error)
            if moved(error):
                pause = MOVED_S * lot.random()
            elif error.code() is not grpc.StatusCode.UNAVAILABLE:
                raise
            elif wait is not None:
                if wait.total_seconds() > 3600:  # "never" by A6, or as good as
                    raise
                pause = wait.total_seconds()
            else:
                pause = min(MOST_S, PAUSE_S * 2**failed) * (0.5 + lot.random())
            failed += 1
            if failed > tries:
                raise
        finally:
            call.cancel()
        await asyncio.sleep(pause)
