"""The completion of a call: its final status, and the tasks and callbacks that wait for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc

from puffindeck.rpc.status import FinalStatus


class CallCompletion:
    """Holds a call's final status, the tasks that wait for a change of the call, and its done callbacks."""

    __slots__ = ("_callbacks", "_loop", "_waiters", "application_error", "status")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.status: FinalStatus | None = None  # None until the call has ended
        self.application_error: Exception | None = None  # raised by the application's own code
        self._waiters: list[asyncio.Future[None]] = []
        self._callbacks: list[Callable[[Any], None]] = []

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for_change(self) -> None:
        """Wait for the next call of `notify`."""
        waiter: asyncio.Future[None] = self._loop.create_future()
        self._waiters.append(waiter)
        await waiter

    async def wait_for_status(self) -> FinalStatus:
        """Wait until the call has ended and return its final status."""
        while self.status is None:
            await self.wait_for_change()
        return self.status

    def raise_unless_ok(self) -> None:
        """Raise the error of a call that has ended, unless its status is OK.

        The error is the one that the application's own code raised, if any, CancelledError for the status
        CANCELLED, and AioRpcError otherwise.
        """
        if self.application_error is not None:
            raise self.application_error
        assert self.status is not None
        if self.status.code is grpc.StatusCode.CANCELLED:
            raise asyncio.CancelledError
        if self.status.code is not grpc.StatusCode.OK:
            raise self.status.error()

    def add_done_callback(self, callback: Callable[[Any], None], call: object) -> None:
        """Call `callback` with `call` when the call ends, or immediately if it has ended."""
        if self.status is not None:
            callback(call)
        else:
            self._callbacks.append(callback)

    def schedule_callbacks(self, call: object) -> None:
        """Schedule the done callbacks of the ended call for the next loop iteration."""
        for callback in self._callbacks:
            self._loop.call_soon(callback, call)
        self._callbacks.clear()
