"""A stand-in of the platform's discovery: the whole list, and watches on its changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import asdict, dataclass

from puffindeck_faults.records import HostChange, Records, now
from puffindeck_testing.ports import free_port

EMPTY_LINE_S = 2.0  # how often a watch says that it is alive


@dataclass
class Target:
    """A host in the list, by the keys of the protocol page."""

    uid: str
    endpoint: str
    az: str = "a"
    model: str = "m"
    pod_group: int = 0
    state: str = "SERVING"
    capacity_hint: float = 1.0
    boot_ms: int = 0


class Discovery:
    """One service with an address for each node, so that it is known who was told what, and when."""

    def __init__(self, records: Records, address: str) -> None:
        self._records, self._address = records, address
        self.targets: dict[str, Target] = {}
        self.version = 1
        self.silent = False  # connections stand, and nothing is said on them
        self.ports: dict[str, int] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._watches: dict[asyncio.StreamWriter, str] = {}
        self._open: set[asyncio.StreamWriter] = set()
        self._down_since: float | None = None

    async def start(self, node: str) -> None:
        """Listen for a node, at the same port as before once it has had one."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(node, reader, writer)

        port = self.ports.setdefault(node, free_port())
        self._servers[node] = await asyncio.start_server(serve, self._address, port)

    def stop(self) -> None:
        """Down: calls are refused, watches end."""
        self._down_since = now()
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        for writer in list(self._open):
            writer.transport.abort()
        self._watches.clear()

    async def resume(self) -> None:
        """Back again at all addresses."""
        if self._down_since is not None:
            self._records.unreachable.append((self._down_since, now()))
            self._down_since = None
        for node in self.ports:
            if node not in self._servers:
                await self.start(node)

    async def move(self, node: str) -> None:
        """Another address for this node; the old one takes nobody new, and ends what is open."""
        old = self._servers.pop(node, None)
        self.ports.pop(node, None)
        await self.start(node)
        if old is not None:
            old.close()
        for writer, watching in list(self._watches.items()):
            if watching == node:
                writer.transport.abort()
                del self._watches[writer]

    def change(self, *targets: Target) -> None:
        """Add or change hosts; state DELETED takes one out."""
        self.version += 1
        for target in targets:
            change = HostChange(target.uid, target.state, now())
            self._records.changes.append(change)
            if target.state == "DELETED":
                self.targets.pop(target.uid, None)
            else:
                self.targets[target.uid] = target
            if not self.silent:
                for writer, node in self._watches.items():
                    if not writer.is_closing():
                        change.written.setdefault(node, now())
        body = self._list(False, targets)
        if not self.silent:
            for writer in list(self._watches):
                self._chunk(writer, body)

    def _list(self, whole: bool, targets: tuple[Target, ...] | list[Target]) -> bytes:
        rows = [asdict(target) for target in targets]
        return json.dumps({"rev": self.version, "all": whole, "targets": rows}).encode() + b"\n"

    def _told_all(self, node: str) -> None:
        for change in self._records.changes:
            change.written.setdefault(node, now())

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, body: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
            while self.silent:
                await asyncio.sleep(0.05)
            if writer.is_closing():  # it went down meanwhile: nobody is told
                return
            await self._answer(node, head.split()[1], writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled only when the run is over
        finally:
            self._watches.pop(writer, None)
            self._open.discard(writer)
            with suppress(OSError):
                writer.close()

    async def _answer(self, node: str, path: str, writer: asyncio.StreamWriter) -> None:
        body = self._list(True, list(self.targets.values()))
        if "watch=1" not in path:
            self._told_all(node)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body)
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._told_all(node)
        self._chunk(writer, body)
        self._watches[writer] = node
        while not writer.is_closing():
            await asyncio.sleep(EMPTY_LINE_S)
            if not self.silent:
                self._chunk(writer, b"\n")
                await writer.drain()
