"""Datagram relays on loopback that inject network faults: seeded loss, delay and duplication, and cut links.

Each ordered pair of gateways has a relay. A relay also propagates refusals: while its destination refuses
datagrams, the relay closes its own port, so that the sender's datagrams are refused too.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from random import Random
from typing import Any

from puffindeck_testing.ports import free_port, own_address

PROBE_INTERVAL_S = 0.1  # time between probes of a destination that refuses datagrams


@dataclass(frozen=True, slots=True)
class LinkFaults:
    """The faults of one direction. `loss` and `duplication` are probabilities from 0 to 1."""

    loss: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)  # minimum and maximum
    duplication: float = 0.0
    cut: bool = False


class _Inbound(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a sender's datagram to the relay."""
        self._relay.on_datagram(data)


class _Outbound(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def error_received(self, exc: Exception) -> None:
        """Report a refusal by the destination to the relay, and ignore other errors."""
        if isinstance(exc, ConnectionRefusedError):
            self._relay.on_refused()


class Relay:
    """Relays the datagrams of one direction between two gateways."""

    def __init__(self, destination: tuple[str, int], seed: str) -> None:
        """`destination` is the address and port of the receiver."""
        self.faults = LinkFaults()
        self.forwarded = 0  # number of datagrams sent to the destination
        self._destination = destination
        self._random = Random(seed)
        self._address = (own_address(), free_port(socket.SOCK_DGRAM))
        self._inbound: Any = None
        self._outbound: Any = None
        self._reopening: asyncio.Task[None] | None = None
        self._last_refusal = 0.0  # time on the event loop's clock, in seconds

    async def open(self) -> str:
        """Open the relay, and return its address as HOST:PORT."""
        loop = asyncio.get_running_loop()
        self._outbound, _ = await loop.create_datagram_endpoint(lambda: _Outbound(self), remote_addr=self._destination)
        await self._listen()
        return "{}:{}".format(*self._address)

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._inbound, _ = await loop.create_datagram_endpoint(lambda: _Inbound(self), local_addr=self._address)

    def on_datagram(self, data: bytes) -> None:
        """Apply the faults to a datagram, and schedule its forwarding unless it is lost."""
        faults = self.faults
        if faults.cut or self._random.random() < faults.loss:
            return
        for _ in range(1 + (self._random.random() < faults.duplication)):
            minimum_s, maximum_s = faults.delay_s
            delay_s = minimum_s + (maximum_s - minimum_s) * self._random.random()
            asyncio.get_running_loop().call_later(delay_s, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if not self._outbound.is_closing():
            self.forwarded += 1
            self._outbound.sendto(data)

    def on_refused(self) -> None:
        """Close the relay's port until a process listens at the destination again."""
        self._last_refusal = asyncio.get_running_loop().time()
        if self._inbound is not None and not self.faults.cut:
            self._inbound.close()
            self._inbound = None
            self._reopening = asyncio.get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            probed = loop.time()
            self._outbound.sendto(b"?")  # asyncio does not send an empty datagram
            await asyncio.sleep(PROBE_INTERVAL_S)
            if self._last_refusal < probed:
                break
        await self._listen()

    def close(self) -> None:
        """Close both sockets of the relay."""
        if self._reopening is not None:
            self._reopening.cancel()
        for transport in (self._inbound, self._outbound):
            if transport is not None:
                transport.close()
