"""The end of a call: its one final status, and everybody who waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc

from puffindeck.rpc.status import FinalStatus


class CallCompletion:
    """Owns a call's final status, the tasks that wait for a change of the call, and its done callbacks."""

    __slots__ = ("_callbacks", "_loop", "_waiters", "application_error", "status")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.status: FinalStatus | None = None  # None until the call has ended
        self.application_error: Exception | None = None  # raised by the application's own code
        self._waiters: list[asyncio.Future[None]] = []
        self._callbacks: list[Callable[[Any], None]] = []

    def notify(self) -> None:
        """Wake all that wait for a change."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self) -> None:
        """Wait for the next `notify`."""
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiters.append(waiter)
        await waiter

    async def wait_for_status(self) -> FinalStatus:
        """Wait until the call has ended."""
        while self.status is None:
            await self.wait_for_change()
        return self.status

    def raise_unless_ok(self) -> None:
        """Raise what an ended call's caller sees: the application's error, CancelledError or AioRpcError."""
        if self.application_error is not None:
            raise self.application_error
        assert self.status is not None
        if self.status.code is grpc.StatusCode.CANCELLED:
            raise asyncio.CancelledError
        if self.status.code is not grpc.StatusCode.OK:
            raise self.status.error()

    def add_done_callback(self, callback: Callable[[Any], None], call: object) -> None:
        """Call `callback` with the call once it has ended; at once if it has."""
        if self.status is not None:
            callback(call)
        else:
            self._callbacks.append(callback)

    def schedule_callbacks(self, call: object) -> None:
        """The call has ended: run its done callbacks in the loop's next turn."""
        for callback in self._callbacks:
            self._loop.call_soon(callback, call)
        self._callbacks.clear()
