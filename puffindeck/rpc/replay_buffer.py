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
        self._reader = 0  # number of the current reader, which is that of the latest attempt
        self._sent_count = 0  # messages that the current reader has sent
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

    def restart(self) -> int:
        """Start a new attempt, and return the number of its reader, which begins with the first message.

        This must be called as the attempt becomes the current one: a commit drops what the reader has sent.
        """
        self._sent_count = 0
        self._reader += 1
        return self._reader

    def commit(self) -> None:
        """Commit the call, which can no longer be retried, and drop the messages that were sent."""
        self.committed = True
        self._drop_sent()

    def _drop_sent(self) -> None:
        while self._messages and self._first_number < self._sent_count:
            self._messages.popleft()
            self._first_number += 1

    def mark_sent(self, reader: int) -> None:
        """Record that a reader has sent the message that `next` returned last; ignored for an earlier one."""
        if reader != self._reader:
            return
        self._sent_count += 1
        if self.committed:
            self._drop_sent()
        self._changed.set()

    def all_sent(self) -> bool:
        """Return whether the current reader has sent all messages written so far."""
        return self._sent_count >= len(self)

    async def next(self, reader: int) -> Any:
        """Wait for a reader's next message; END_OF_REQUESTS after the last one, and for an earlier reader."""
        while reader == self._reader and self.all_sent():
            if self.closed:
                return END_OF_REQUESTS
            await self.wait_for_change()
        if reader != self._reader:
            return END_OF_REQUESTS
        return self._messages[self._sent_count - self._first_number]

    async def wait_for_change(self) -> None:
        """Wait until a message is written or sent, the stream is closed, or `notify` is called."""
        self._changed.clear()
        await self._changed.wait()

    def notify(self) -> None:
        """Wake the tasks that wait for a change, because the call may have ended."""
        self._changed.set()
