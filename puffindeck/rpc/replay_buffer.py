"""The messages of a request stream, buffered until the call can't be retried any more. No I/O."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Final

END_OF_REQUESTS: Final = object()  # `next` returns it once the application has written its last message


class ReplayBuffer:
    """What the application has written. Each attempt reads it from the start until the call is committed.

    `limit` messages are buffered at most: one more commits the call, as what was dropped can't be replayed.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: deque[Any] = deque()
        self._first_number = 0  # of the oldest buffered message
        self._sent_count = 0  # how many messages the current attempt has sent
        self.committed = False
        self.closed = False
        self._changed = asyncio.Event()

    def __len__(self) -> int:
        """How many messages were written so far."""
        return self._first_number + len(self._messages)

    def add(self, message: Any) -> bool:
        """Take a message. False if it is one more than the limit: the call must be committed."""
        self._messages.append(message)
        self._changed.set()
        return self.committed or len(self._messages) <= self._limit

    def close(self) -> None:
        """The application has written its last message."""
        self.closed = True
        self._changed.set()

    def restart(self) -> None:
        """A new attempt begins: it reads from the start."""
        self._sent_count = 0

    def commit(self) -> None:
        """The call won't be retried: drop what was sent."""
        self.committed = True
        self._drop_sent()

    def _drop_sent(self) -> None:
        while self._messages and self._first_number < self._sent_count:
            self._messages.popleft()
            self._first_number += 1

    def mark_sent(self) -> None:
        """The attempt has sent the message that `next` gave it last."""
        self._sent_count += 1
        if self.committed:
            self._drop_sent()
        self._changed.set()

    def all_sent(self) -> bool:
        """Has the current attempt sent every message written so far?"""
        return self._sent_count >= len(self)

    async def next(self) -> Any:
        """The next message for the current attempt; END_OF_REQUESTS once it has sent the last."""
        while self.all_sent():
            if self.closed:
                return END_OF_REQUESTS
            await self.wait_for_change()
        return self._messages[self._sent_count - self._first_number]

    async def wait_for_change(self) -> None:
        """Wait until something was written or sent, the stream was closed, or `notify` was called."""
        self._changed.clear()
        await self._changed.wait()

    def notify(self) -> None:
        """Wake whoever waits for a change: the call may have ended."""
        self._changed.set()
