"""Nodes, hosts, discovery and clients on loopback, joined: what stories and the soak run in."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from puffindeck_faults.clients import Class, Clients
from puffindeck_faults.discovery import Discovery, Target
from puffindeck_faults.hosts import Host
from puffindeck_faults.node_process import NodeProcess, settings
from puffindeck_faults.records import Records, now
from puffindeck_testing.ports import own_address

CLASSES = (Class("chat", 1200), Class("sync", 2500, aim_ms=500))


class World:
    """A run's processes and peers. To be used with `async with`, which ends them all."""

    def __init__(
        self,
        folder: Path,
        nodes: int = 1,
        hosts: int = 3,
        classes: Sequence[Class] = CLASSES,
        seed: int = 1,
        sockets: int = 256,
        **changes: Any,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.classes, self.seed = folder, classes, seed
        self._address = address = own_address()
        self.records = Records()
        self.discovery = Discovery(self.records, address)
        self.clients = Clients(self.records, seed, address)
        self.settings = settings(classes, nodes, **changes)
        self.hosts = {f"h{i}": Host(f"h{i}", self.records, address) for i in range(hosts)}
        self.nodes = {
            f"n{i}": NodeProcess(f"n{i}", folder, self.records, seed * 100 + i, sockets) for i in range(nodes)
        }

    @property
    def longest_s(self) -> float:
        """The longest deadline of a class, in seconds."""
        return max(c.deadline_ms for c in self.classes) / 1000

    async def __aenter__(self) -> World:
        for host in self.hosts.values():
            await host.start()
        for node in self.nodes.values():
            await self.discovery.start(node.name)
            node.write_config(self.discovery.ports[node.name], self.settings)
        self.discovery.change(*(self.target(name) for name in self.hosts))
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.clients.finish(0)
        for node in self.nodes.values():
            node.close()
        for host in self.hosts.values():
            await host.die()
        self.discovery.stop()

    def target(self, name: str, state: str = "SERVING", started: bool = False) -> Target:
        """A host as the list has it; one that has started just now tells when, in Unix time."""
        boot_ms = round(time.time() * 1000) if started else 0
        return Target(name, f"{self._address}:{self.hosts[name].port}", state=state, boot_ms=boot_ms)

    async def until(self, met: Callable[[], Any], what: str, patience_s: float = 10.0) -> None:
        """Wait for something that only shows when it is looked for. Raises AssertionError."""
        ends = now() + patience_s
        while not met():
            if now() > ends:
                raise AssertionError(f"waited in vain for {what}")
            await asyncio.sleep(0.01)
