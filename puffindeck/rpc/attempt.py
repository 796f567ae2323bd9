"""One attempt of a call at one server: the engine's link, round one call of grpc.aio."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import grpc
from grpc.aio import AioRpcError, Metadata

from puffindeck.core.clock import ZERO, milliseconds
from puffindeck.core.requests import AttemptId
from puffindeck.interface import Outcome
from puffindeck.rpc import outcomes
from puffindeck.rpc.status import MOVED, PUSHBACK, Final

if TYPE_CHECKING:
    from puffindeck.rpc.calls import BalancedCall

SETTLE_S = 0.003  # a status without a head comes right behind an empty one: how long it is waited for
TURNS = 3  # of the loop, from the status to whoever awaits the library's call
NOTHING: Any = object()  # no answer has come


class Attempt:
    """Connects, sends, and tells the engine how it went. `inner` is the library's own call, once begun."""

    __slots__ = (
        "_address",
        "_broken",
        "_call",
        "_engine",
        "_gave_up",
        "_pump",
        "_server",
        "_sub",
        "_task",
        "_ticket",
        "_until",
        "inner",
        "response",
    )

    def __init__(
        self, call: BalancedCall, ticket: AttemptId, endpoint: int, address: tuple[str, int], until: timedelta
    ) -> None:
        self._call, self._ticket, self._server, self._until = call, ticket, endpoint, until
        self._engine, self._address = call.shared.engine, address
        self._gave_up = False
        self._pump: asyncio.Task[None] | None = None
        self.inner: Any = None
        self.response: Any = NOTHING
        self._broken: Exception | None = None
        self._sub = call.pool.take(address)
        if self._sub.ready() and self._engine.may_reach(endpoint):
            self._begin()  # at once: a turn of the loop later would cost a tenth of a call
        self._task: asyncio.Task[None] | None = None
        if self.inner is not None and not call.method.response_stream and call.replay is None:
            self.inner.add_done_callback(self._inner_ended)
        else:
            self._watch()

    def _watch(self) -> None:
        self._task = self._call.shared.loop.create_task(self._run())
        self._task.add_done_callback(self._over)  # also of a task that was cancelled before it began

    def _inner_ended(self, _: Any) -> None:
        self._look(TURNS)

    def _look(self, turns: int) -> None:
        """The library's call has ended: unless whoever awaits ours takes the answer, a task sees to it."""
        if self.response is not NOTHING or self._gave_up:
            self._over()
        elif turns:
            self._call.shared.loop.call_soon(self._look, turns - 1)
        else:
            self._watch()

    def read_available(self) -> None:
        """Nothing waits unread here."""

    def abandon(self) -> None:
        """End it; nothing more is told of it."""
        if not self._gave_up:
            self._gave_up = True
            if self.inner is not None:
                self.inner.cancel()
            if self._task is not None and self._task is not asyncio.current_task():
                self._task.cancel()

    def _begin(self) -> None:
        try:
            self.inner = self._call.start(self._sub)
        except Exception as error:  # metadata that gRPC can't read, for one
            self._broken = error

    async def _run(self) -> None:
        try:
            await self._go()
        except Exception as error:
            # what the application's own serializer raises, or a fault here, must not leave the call open
            if not self._gave_up:
                self._call.broke(error)

    def _over(self, _: Any = None) -> None:
        if self._pump is not None:
            self._pump.cancel()
        self._call.pool.give_back(self._address, self._sub)

    async def _go(self) -> None:
        call = self._call
        if self.inner is None and self._broken is None:
            if not await self._connected():
                self._end(Outcome.CONNECT_FAILED)
                return
            self._begin()
        if self._broken is not None:
            raise self._broken
        if call.replay is not None:
            call.replay.restart()
            self._pump = call.shared.loop.create_task(self._send(call.replay))
        if call.method.response_stream:
            await self._stream()
        else:
            await self._unary()

    async def _connected(self) -> bool:
        """Until the connection stands. False also if the server drains, as was told meanwhile."""
        if not self._sub.ready():
            shared = self._call.shared
            patience = min(
                milliseconds(self._engine.settings.connect_timeout_ms), self._until - shared.clock.now()
            )
            if not await self._sub.connect(max(ZERO, patience)):
                return False
        return self._engine.may_reach(self._server)

    async def _send(self, replay: Any) -> None:
        """Write what the application has written, in its order, from the start."""
        try:
            while True:
                more, message = await replay.next()
                if not more:
                    await self.inner.done_writing()
                    return
                await self.inner.write(message)
                replay.sent()
        except (AioRpcError, asyncio.InvalidStateError, grpc.aio.UsageError):
            pass  # it has ended, and the status says how
        except Exception as error:
            if not self._gave_up:
                self._call.broke(error)

    async def _unary(self) -> None:
        try:
            self.served(await self.inner)
        except AioRpcError:
            await self._judge(heard=self._call.serves(self))
        except asyncio.CancelledError:
            if self._gave_up or not self.inner.done():
                raise
            await self._judge(heard=self._call.serves(self))  # the server's own CANCELLED

    def served(self, response: Any) -> None:
        """The one answer is there. Whoever waits for the call may be told of it before we are."""
        if self.response is not NOTHING or self._gave_up:
            return
        self.response = response
        if self._call.serves(self):  # committed before, as more was sent than is kept
            self._call.answered()
        elif not self._engine.attempt_established(self._ticket):
            return
        self._end(Outcome.OK)

    async def _stream(self) -> None:
        head = await self.inner.initial_metadata()
        if not head:
            try:
                async with asyncio.timeout(SETTLE_S):
                    await self.inner.code()
            except TimeoutError:
                pass
        if self._gave_up:
            return
        if self.inner.done() and not head:
            await self._judge(heard=False)
        elif self._engine.attempt_established(self._ticket):
            await self.inner.code()
            await self._judge(heard=True)
        else:
            self.abandon()

    async def _judge(self, heard: bool) -> None:
        """The library's call has ended with a status: what is it to the module, and to the caller?"""
        inner = self.inner
        code, details = await inner.code(), await inner.details()
        trailing: Metadata = await inner.trailing_metadata() or Metadata()
        initial: Metadata = await inner.initial_metadata() or Metadata()
        if self._gave_up:
            return
        final = Final(code, details or "", tuple(trailing), tuple(initial))
        outcome = outcomes.outcome(code.value[0], final.details, heard, trailing.get(MOVED) is not None)
        if heard or outcome == Outcome.OK:
            self._engine.attempt_established(
                self._ticket
            )  # where it has not begun: this status is the call's answer
            self._call.finish(final)
            self._end(outcome)
            return
        pushback = trailing.get(PUSHBACK)
        if pushback is not None and not str(pushback).isdigit():
            self._call.finish(final)  # A6: a server may say that the call is not to be tried again
            self._call.leave()
            return
        self._call.last = final
        self._end(outcome)

    def _end(self, outcome: Outcome) -> None:
        if not self._gave_up:
            self._engine.attempt_ended(self._ticket, outcome)
