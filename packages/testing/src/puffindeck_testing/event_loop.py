"""An event loop in a separate thread, for tests that are synchronous functions."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

TIMEOUT_S = 30.0


class EventLoopThread:
    """Runs coroutines for synchronous tests."""

    def __init__(self) -> None:
        """Start the thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine and return its result. Raises TimeoutError after 30 s."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(TIMEOUT_S)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine without waiting for its result."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def call(self, function: Callable[[], None]) -> None:
        """Schedule a call of the function in the loop's thread, and return at once."""
        self._loop.call_soon_threadsafe(function)

    def close(self) -> None:
        """Stop the loop, and wait up to 10 s for its thread to end."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
