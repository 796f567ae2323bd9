"""A test double of the platform's discovery: the complete list of hosts, and watches on its changes, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from dataclasses import asdict, dataclass

from puffindeck_faults.records import HostChange, Outage, Records, now
from puffindeck_testing.ports import free_port

KEEPALIVE_INTERVAL_S = 2.0  # time between the empty lines that keep a watch alive


@dataclass
class ListedEndpoint:
    """A host in the list. The field names are the JSON keys of the protocol page."""

    uid: str
    endpoint: str
    az: str = "a"
    model: str = "m"
    pod_group: int = 0
    state: str = "SERVING"
    capacity_hint: float = 1.0
    boot_ms: int = 0


class Discovery:
    """One discovery service. Each node has a separate port, so that the records show when each node was notified."""

    def __init__(self, records: Records, address: str) -> None:
        self._records = records
        self._address = address
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.version = 1
        self.silent = False  # whether the service keeps connections open without sending anything
        self.ports: dict[str, int] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._watches: dict[asyncio.StreamWriter, str] = {}
        self._open: set[asyncio.StreamWriter] = set()
        self._down_since: float | None = None

    async def start(self, node: str) -> None:
        """Start to listen for a node, on the same port as before if the node had one."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            """Serve one connection to the node's port."""
            await self._serve(node, reader, writer)

        port = self.ports.setdefault(node, free_port())
        self._servers[node] = await asyncio.start_server(serve, self._address, port)

    def stop(self) -> None:
        """Go down: refuse connections, and abort all open ones."""
        self._down_since = now()
        for server in self._servers.values():
            server.close()
        self._servers.clear()
        for writer in list(self._open):
            writer.transport.abort()
        self._watches.clear()

    async def resume(self) -> None:
        """Listen again on all ports, and record the outage."""
        if self._down_since is not None:
            self._records.outages.append(Outage(self._down_since, now()))
            self._down_since = None
        for node in self.ports:
            if node not in self._servers:
                await self.start(node)

    async def move(self, node: str) -> None:
        """Change the port for a node: close the old port, and abort the node's open watches."""
        old = self._servers.pop(node, None)
        self.ports.pop(node, None)
        await self.start(node)
        if old is not None:
            old.close()
        for writer, watching_node in list(self._watches.items()):
            if watching_node == node:
                writer.transport.abort()
                del self._watches[writer]

    def change(self, *endpoints: ListedEndpoint) -> None:
        """Add or change hosts in the list, and notify the watches. The state DELETED removes a host."""
        self.version += 1
        for endpoint in endpoints:
            change = HostChange(endpoint.uid, endpoint.state, now())
            self._records.changes.append(change)
            if endpoint.state == "DELETED":
                self.endpoints.pop(endpoint.uid, None)
            else:
                self.endpoints[endpoint.uid] = endpoint
            if not self.silent:
                for writer, node in self._watches.items():
                    if not writer.is_closing():
                        change.sent_to_nodes.setdefault(node, now())
        body = self._list(False, endpoints)
        if not self.silent:
            for writer in list(self._watches):
                self._write_chunk(writer, body)

    def _list(self, complete: bool, endpoints: tuple[ListedEndpoint, ...] | list[ListedEndpoint]) -> bytes:
        rows = [asdict(endpoint) for endpoint in endpoints]
        return json.dumps({"rev": self.version, "all": complete, "targets": rows}).encode() + b"\n"

    def _mark_all_sent(self, node: str) -> None:
        for change in self._records.changes:
            change.sent_to_nodes.setdefault(node, now())

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, body: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))

    async def _serve(self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("ascii")
            while self.silent:
                await asyncio.sleep(0.05)
            if writer.is_closing():  # the service went down meanwhile
                return
            await self._answer(node, head.split()[1], writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # CancelledError occurs only at the end of the run
        finally:
            self._watches.pop(writer, None)
            self._open.discard(writer)
            with suppress(OSError):
                writer.close()

    async def _answer(self, node: str, path: str, writer: asyncio.StreamWriter) -> None:
        body = self._list(True, list(self.endpoints.values()))
        if "watch=1" not in path:
            self._mark_all_sent(node)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % len(body) + body)
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._mark_all_sent(node)
        self._write_chunk(writer, body)
        self._watches[writer] = node
        while not writer.is_closing():
            await asyncio.sleep(KEEPALIVE_INTERVAL_S)
            if not self.silent:
                self._write_chunk(writer, b"\n")
                await writer.drain()
