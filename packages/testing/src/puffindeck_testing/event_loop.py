"""An event loop in a thread of its own, so that a test may be written from top to bottom."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

TIMEOUT_S = 30.0


class EventLoopThread:
    """Runs coroutines for a test that is no coroutine itself."""

    def __init__(self) -> None:
        """Start the thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine and wait for its result. Raises TimeoutError after 30 s."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(TIMEOUT_S)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine and do not wait for it."""
        asyncio.run_coroutine_threadsafe(work, self._loop)

    def call(self, function: Callable[[], None]) -> None:
        """Call a function in the loop's thread, later."""
        self._loop.call_soon_threadsafe(function)

    def close(self) -> None:
        """Stop the loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
