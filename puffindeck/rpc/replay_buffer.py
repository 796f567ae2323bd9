"""Buffers the messages of a request stream as long as the call can be retried. Does no I/O."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any, Final

END_OF_REQUESTS: Final = object()  # returned by `next` after the application's last message


class ReplayBuffer:
    """The messages that the application has written. Each attempt reads them from the first one on.

    At most `limit` messages are buffered. One more message commits the call to its current attempt, because
    messages that are no longer buffered can't be replayed. From then on, sent messages are dropped.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._messages: deque[Any] = deque()
        self._first_number = 0  # number of the oldest buffered message
        self._sent_count = 0  # messages that the current attempt has sent
        self.committed = False
        self.closed = False
        self._changed = asyncio.Event()

    def __len__(self) -> int:
        """The number of messages written so far."""
        return self._first_number + len(self._messages)

    def add(self, message: Any) -> bool:
        """Add a message. Return False if the limit is exceeded, so that the call must be committed."""
        self._messages.append(message)
        self._changed.set()
        return self.committed or len(self._messages) <= self._limit

    def close(self) -> None:
        """Mark the end of the application's messages."""
        self.closed = True
        self._changed.set()

    def restart(self) -> None:
        """Start a new attempt, which sends the messages from the first one on."""
        self._sent_count = 0

    def commit(self) -> None:
        """Commit the call, which can no longer be retried, and drop the messages that were sent."""
        self.committed = True
        self._drop_sent()

    def _drop_sent(self) -> None:
        while self._messages and self._first_number < self._sent_count:
            self._messages.popleft()
            self._first_number += 1

    def mark_sent(self) -> None:
        """Record that the attempt has sent the message that `next` returned last."""
        self._sent_count += 1
        if self.committed:
            self._drop_sent()
        self._changed.set()

    def all_sent(self) -> bool:
        """Return whether the current attempt has sent all messages written so far."""
        return self._sent_count >= len(self)

    async def next(self) -> Any:
        """Wait for the next message of the current attempt; END_OF_REQUESTS after the last one."""
        while self.all_sent():
            if self.closed:
                return END_OF_REQUESTS
            await self.wait_for_change()
        return self._messages[self._sent_count - self._first_number]

    async def wait_for_change(self) -> None:
        """Wait until a message is written or sent, the stream is closed, or `notify` is called."""
        self._changed.clear()
        await self._changed.wait()

    def notify(self) -> None:
        """Wake the tasks that wait for a change, because the call may have ended."""
        self._changed.set()
