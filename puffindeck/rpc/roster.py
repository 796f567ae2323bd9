"""Discovery over asyncio: the whole list where there is none yet, then a watch on its changes.

What is asked and what the answers mean is `roster.watch`'s; httpx brings the HTTP.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httpx
from twisted.logger import Logger

from puffindeck.config import Members
from puffindeck.core.engine import Engine
from puffindeck.interface import ListUpdateKind
from puffindeck.service_discovery.directory import Directory
from puffindeck.service_discovery.watch import (
    ANSWER_TIMEOUT,
    MAX_BYTES,
    SILENCE_TIMEOUT,
    WatchError,
    WatchState,
    update_kind,
)

log = Logger("puffindeck")


class Roster:
    """One watch at a time. When it breaks the module is told, and says when to ask again."""

    def __init__(
        self,
        discovery: tuple[str, int],
        directory: Directory,
        engine: Engine,
        alive: Callable[[], None],
    ) -> None:
        host, port = discovery
        self._base = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        self._directory, self._engine, self._alive = directory, engine, alive
        self._state = WatchState()
        self._task: asyncio.Task[None] | None = None
        self._stopped = False

    @property
    def version(self) -> int | None:
        """How far the list is known; None before the first."""
        return self._state.version

    def ask(self) -> None:
        """Watch from what is known on. A call while one is out would cost discovery twice."""
        if self._task is None and not self._stopped:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        why = "it ended"
        try:
            silent = SILENCE_TIMEOUT.total_seconds()
            timeout = httpx.Timeout(silent, connect=ANSWER_TIMEOUT.total_seconds())
            # plain HTTP by the protocol: no certificates to load, which takes longer than the call
            async with httpx.AsyncClient(timeout=timeout, trust_env=False, verify=False) as client:
                if not self._state.watching:
                    await self._whole(client)
                await self._watch(client)
        except (httpx.HTTPError, httpx.StreamError, WatchError, TimeoutError, OSError) as error:
            why = str(error) or type(error).__name__
        except Exception:  # a fault must not end the asking for good
            log.failure("discovery: a fault")
            why = "a fault"
        self._task = None
        if not self._stopped:
            log.warn("discovery: watch broken: {why}", why=why)
            self._engine.update_endpoints(ListUpdateKind.FAILED)

    async def _whole(self, client: httpx.AsyncClient) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
            async with client.stream("GET", self._base + self._state.target()) as answer:
                self._check(answer)
                parts, size = [], 0
                async for part in answer.aiter_bytes():
                    parts.append(part)
                    size += len(part)
                    if size > MAX_BYTES:
                        break  # too long to be read: the state says so
        self._take(self._state.read_list(b"".join(parts)))

    async def _watch(self, client: httpx.AsyncClient) -> None:
        request = client.build_request("GET", self._base + self._state.target())
        async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
            answer = await client.send(request, stream=True)
        try:
            self._check(answer)
            rest = b""
            async for part in answer.aiter_bytes():
                *lines, rest = (rest + part).split(b"\n")
                if len(rest) > MAX_BYTES:
                    raise WatchError(f"a line over {MAX_BYTES >> 20} MiB")
                for line in lines:
                    self._take(self._state.read_line(line))
                    self._hear()
        finally:
            await answer.aclose()

    def _hear(self) -> None:
        self._directory.record_contact(self._engine.clock.now())
        self._alive()

    @staticmethod
    def _check(answer: httpx.Response) -> None:
        if answer.status_code != 200:
            raise WatchError(f"status {answer.status_code}")

    def _take(self, members: Members | None) -> None:
        if members is not None:
            entries = self._directory.entries(members, self._engine.clock.now())
            self._engine.update_endpoints(update_kind(members), members.rev, entries)
            self._hear()

    async def stop(self) -> None:
        """Ask nothing more."""
        self._stopped = True
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
