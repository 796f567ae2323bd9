"""The environment of the tests and of the soak test: nodes, hosts, discovery and clients on loopback."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from puffindeck_faults.clients import Clients, RequestClass
from puffindeck_faults.discovery import Discovery, ListedEndpoint
from puffindeck_faults.hosts import Host
from puffindeck_faults.node_process import NodeProcess
from puffindeck_faults.node_settings import node_settings
from puffindeck_faults.records import Records, now
from puffindeck_testing.ports import own_address

CLASSES = (RequestClass("chat", 1200), RequestClass("sync", 2500, latency_objective_ms=500))


class World:
    """An environment of node processes and their peers. `async with` starts them, and stops them at its end."""

    def __init__(
        self,
        folder: Path,
        nodes: int = 1,
        hosts: int = 3,
        classes: Sequence[RequestClass] = CLASSES,
        seed: int = 1,
        descriptor_limit: int = 256,
        **changes: Any,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.classes = classes
        self.seed = seed
        self._address = own_address()
        self.records = Records()
        self.discovery = Discovery(self.records, self._address)
        self.clients = Clients(self.records, seed, self._address)
        self.settings = node_settings(classes, nodes, **changes)
        self.hosts = {f"h{i}": Host(f"h{i}", self.records, self._address) for i in range(hosts)}
        self.nodes = {
            f"n{i}": NodeProcess(f"n{i}", folder, self.records, seed * 100 + i, descriptor_limit) for i in range(nodes)
        }

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of a class, in seconds."""
        return max(request_class.deadline_ms for request_class in self.classes) / 1000

    async def __aenter__(self) -> World:
        for host in self.hosts.values():
            await host.start()
        for node in self.nodes.values():
            await self.discovery.start(node.name)
            node.write_config(self.discovery.ports[node.name], self.settings)
        self.discovery.change(*(self.listed_endpoint(name) for name in self.hosts))
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.clients.finish(0)
        for node in self.nodes.values():
            node.close()
        for host in self.hosts.values():
            await host.kill()
        self.discovery.stop()

    def listed_endpoint(self, name: str, state: str = "SERVING", started: bool = False) -> ListedEndpoint:
        """Return a host's entry in the list. With `started`, its boot time is the current Unix time in ms, else 0."""
        boot_ms = round(time.time() * 1000) if started else 0
        return ListedEndpoint(name, f"{self._address}:{self.hosts[name].port}", state=state, boot_ms=boot_ms)

    async def wait_until(self, condition: Callable[[], Any], description: str, timeout_s: float = 10.0) -> None:
        """Poll a condition until it is true. Raises AssertionError with the description after the timeout."""
        deadline = now() + timeout_s
        while not condition():
            if now() > deadline:
                raise AssertionError(f"timed out waiting for {description}")
            await asyncio.sleep(0.01)
