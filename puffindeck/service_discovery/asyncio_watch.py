"""Reads the endpoint list over asyncio: first the whole list if none is known, then a watch on its changes.

`service_discovery.watch` implements the protocol, and httpx the HTTP. httpx comes with the extra `grpc`. A
node does not use this module and never loads it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httpx
from twisted.logger import Logger

from puffindeck.config import EndpointList
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

HTTP_OK = 200
TRANSPORT_ERRORS = (httpx.HTTPError, httpx.StreamError, WatchError, TimeoutError, OSError)


class EndpointWatch:
    """Runs at most one watch. When it breaks, the decision module is notified and requests a new one."""

    def __init__(
        self,
        discovery: tuple[str, int],
        directory: Directory,
        engine: Engine,
        on_alive: Callable[[], None],
    ) -> None:
        """`discovery` is a host and port. `on_alive` is called whenever discovery sends a line or list."""
        host, port = discovery
        self._base_url = f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
        self._directory = directory
        self._engine = engine
        self._on_alive = on_alive
        self._state = WatchState()
        self._task: asyncio.Task[None] | None = None
        self._stopped = False

    @property
    def version(self) -> int | None:
        """The version of the known list; None before the first list."""
        return self._state.version

    def start(self) -> None:
        """Start a watch from the known version on. Does nothing while a watch runs or after `stop`."""
        if self._task is None and not self._stopped:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """End the watch, wait until it has ended, and prevent a new start."""
        self._stopped = True
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        """Run a watch until it breaks, and report that to the engine."""
        reason = "the response ended"
        try:
            await self._fetch_and_watch()
        except TRANSPORT_ERRORS as error:
            reason = str(error) or type(error).__name__
        except Exception:  # after an unexpected error a new watch must be possible
            log.failure("discovery: unexpected error")
            reason = "unexpected error"
        self._task = None
        if not self._stopped:
            log.warn("discovery: watch broken: {why}", why=reason)
            self._engine.update_endpoints(ListUpdateKind.FAILED)

    async def _fetch_and_watch(self) -> None:
        timeout = httpx.Timeout(SILENCE_TIMEOUT.total_seconds(), connect=ANSWER_TIMEOUT.total_seconds())
        # The protocol is plain HTTP; loading certificates would take longer than the call.
        async with httpx.AsyncClient(timeout=timeout, trust_env=False, verify=False) as client:
            if not self._state.watching:
                await self._fetch_list(client)
            await self._watch_changes(client)

    async def _fetch_list(self, client: httpx.AsyncClient) -> None:
        async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
            async with client.stream("GET", self._base_url + self._state.target()) as response:
                self._check(response)
                body = await self._read_body(response)
        self._apply(self._state.read_list(body))

    @staticmethod
    async def _read_body(response: httpx.Response) -> bytes:
        chunks: list[bytes] = []
        size = 0
        async for chunk in response.aiter_bytes():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BYTES:
                break  # read_list rejects it as too long
        return b"".join(chunks)

    async def _watch_changes(self, client: httpx.AsyncClient) -> None:
        request = client.build_request("GET", self._base_url + self._state.target())
        async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
            response = await client.send(request, stream=True)
        try:
            self._check(response)
            incomplete_line = b""
            async for chunk in response.aiter_bytes():
                *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
                if len(incomplete_line) > MAX_BYTES:
                    raise WatchError(f"a line over {MAX_BYTES >> 20} MiB")
                for line in lines:
                    self._apply(self._state.read_line(line))
                    self._record_alive()
        finally:
            await response.aclose()

    @staticmethod
    def _check(response: httpx.Response) -> None:
        if response.status_code != HTTP_OK:
            raise WatchError(f"status {response.status_code}")

    def _apply(self, endpoint_list: EndpointList | None) -> None:
        """Pass an endpoint list to the engine. None, from a line that completes no list, is ignored."""
        if endpoint_list is not None:
            entries = self._directory.entries(endpoint_list, self._engine.clock.now())
            self._engine.update_endpoints(update_kind(endpoint_list), endpoint_list.rev, entries)
            self._record_alive()

    def _record_alive(self) -> None:
        self._directory.record_contact(self._engine.clock.now())
        self._on_alive()
