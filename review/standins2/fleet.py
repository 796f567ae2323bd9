"""Gateways of one fleet, with files like deploy/operator-fleet-1.toml, and the paths between them."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import Any

from world import LOOPBACK, ROOT, Host, Node, Record, ask_json, free_port, operator_libraries

PACKAGES = ("errors", "messaging", "membership", "quota", "residency", "fleet")


def fleet_environment() -> dict[str, str]:
    """Return the environment in which the program finds the packages of a fleet and their libraries."""
    sources = [str(ROOT / "packages" / name / "src") for name in PACKAGES]
    return {"PYTHONPATH": os.pathsep.join([*sources, operator_libraries()["PYTHONPATH"]])}


class Gateway(Node):
    """A node that is a member of a fleet, with an operator's file."""

    def __init__(self, record: Record, folder: Path, name: str, region: str) -> None:
        super().__init__(record, folder, name)
        self.region = region
        self.bind = free_port(socket.SOCK_DGRAM)
        self.config_file = folder / f"{name}.toml"
        self.environment = fleet_environment()
        self.paths: dict[str, int] = {}  # ports of the paths to other gateways; without one, their own

    def write_file(self, gateways: list[Gateway], hosts: list[Host], tables: str, settings: str) -> None:
        """Write the operator's file whole. `tables` are quota and residency."""
        peers = "\n".join(
            f'{other.name} = "{LOOPBACK}:{self.paths.get(other.name, other.bind)}"'
            for other in gateways
            if other is not self
        )
        targets = ", ".join(
            f'{{uid = "{host.name}", endpoint = "{LOOPBACK}:{host.port}", state = "SERVING", '
            f'az = "{host.zone}", model = "std-box"}}'
            for host in hosts
        )
        text = f"""name = "{self.name}"
listen = "{LOOPBACK}:{self.port}"
operator = "{LOOPBACK}:{self.operator}"
[fleet]
name = "sfpx"
bind = "{LOOPBACK}:{self.bind}"
region = "{self.region}"
[fleet.peers]
{peers}
{tables}
[known]
rev = 1
all = true
targets = [{targets}]
{settings}"""
        draft = self.config_file.with_suffix(".new")
        draft.write_text(text)
        draft.replace(self.config_file)

    async def start_member(self) -> None:
        """Start the gateway with its file."""
        await self.start(f" --config {self.config_file}")

    async def show(self, path: str) -> Any:
        """Return the JSON document of an operators' call."""
        return json.loads(await ask_json(self.operator, path))


SETTINGS = """[settings]
peersTotal = 3
locality = 0
zones = ["atlanta", "memphis"]
kinds = ["std-box"]
membershipMode = "automatic"
weights = "nominal"
[[settings.classes]]
name = "claim-status"
aimMs = 300
hardLimitMs = 1800
repeat = "pure"
[[settings.classes]]
name = "item-watch"
aimMs = 500
hardLimitMs = 3000
repeat = "pure"
[settings.limits]
maxAttempts = 3
connectTimeoutMs = 250
cancelling = true
retryAfter = true
maxRetryAfterMs = 1500
[settings.rules]
drainGraceMs = 500
answerSlackMs = 20
coldFrom = 0.31
warmAfterMs = 9000
overloadFactor = 3
fallMs = 1000
"""


class DelayLine(asyncio.DatagramProtocol):
    """The path of datagrams from one gateway to another, which takes `delay_s`."""

    def __init__(self, target: int, delay_s: float) -> None:
        self.target = target
        self.delay_s = delay_s
        self.is_cut = False  # drops every datagram
        self.port = 0
        self._transport: Any = None

    async def start(self) -> None:
        """Open the socket."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, (LOOPBACK, 0))
        self.port = self._transport.get_extra_info("sockname")[1]

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on after the delay, unless the path is cut."""
        if self.is_cut:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay_s, self._transport.sendto, data, (LOOPBACK, self.target))

    def error_received(self, exc: Exception) -> None:
        """Ignore a refusal: the gateway has ended."""


async def lay_paths(gateways: list[Gateway], delay_s: float) -> dict[tuple[str, str], DelayLine]:
    """Lay a path between each two gateways, one for each direction, and return them by the names of both."""
    lines = {}
    for gateway in gateways:
        for other in gateways:
            if other is not gateway:
                line = DelayLine(other.bind, delay_s)
                await line.start()
                gateway.paths[other.name] = line.port
                lines[gateway.name, other.name] = line
    return lines
