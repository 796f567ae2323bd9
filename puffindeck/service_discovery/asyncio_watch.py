"""The endpoint list over asyncio: the whole list first where none is known, then a watch on its changes.

`service_discovery.watch` says what to request and what the responses mean; httpx brings the HTTP. It comes
with the extra `grpc`, so a node, which has no use for this module, never loads it.
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
    """One watch at a time. When it breaks the decision module is notified, and says when to start anew."""

    def __init__(
        self,
        discovery: tuple[str, int],
        directory: Directory,
        engine: Engine,
        on_alive: Callable[[], None],
    ) -> None:
        """`discovery` is a host and port; `on_alive` is called whenever discovery gives a sign of life."""
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
        """The version of the list that is known; None before the first list."""
        return self._state.version

    def start(self) -> None:
        """Watch from the known version on. Does nothing while a watch runs or after `stop`."""
        if self._task is None and not self._stopped:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """End the watch for good and wait until it has ended."""
        self._stopped = True
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run(self) -> None:
        """Watch until it breaks, and report that to the engine."""
        why = "it ended"
        try:
            await self._fetch_and_watch()
        except TRANSPORT_ERRORS as error:
            why = str(error) or type(error).__name__
        except Exception:  # a fault must not end the watch for good
            log.failure("discovery: a fault")
            why = "a fault"
        self._task = None
        if not self._stopped:
            log.warn("discovery: watch broken: {why}", why=why)
            self._engine.update_endpoints(ListUpdateKind.FAILED)

    async def _fetch_and_watch(self) -> None:
        timeout = httpx.Timeout(SILENCE_TIMEOUT.total_seconds(), connect=ANSWER_TIMEOUT.total_seconds())
        # plain HTTP by the protocol: no certificates to load, which takes longer than the call
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
        parts: list[bytes] = []
        size = 0
        async for part in response.aiter_bytes():
            parts.append(part)
            size += len(part)
            if size > MAX_BYTES:
                break  # too long to be read: the state says so
        return b"".join(parts)

    async def _watch_changes(self, client: httpx.AsyncClient) -> None:
        request = client.build_request("GET", self._base_url + self._state.target())
        async with asyncio.timeout(ANSWER_TIMEOUT.total_seconds()):
            response = await client.send(request, stream=True)
        try:
            self._check(response)
            rest = b""
            async for part in response.aiter_bytes():
                *lines, rest = (rest + part).split(b"\n")
                if len(rest) > MAX_BYTES:
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

    def _apply(self, members: EndpointList | None) -> None:
        """Hand an endpoint list to the engine; None is a line that only shows that the watch is alive."""
        if members is not None:
            entries = self._directory.entries(members, self._engine.clock.now())
            self._engine.update_endpoints(update_kind(members), members.rev, entries)
            self._record_alive()

    def _record_alive(self) -> None:
        self._directory.record_contact(self._engine.clock.now())
        self._on_alive()
