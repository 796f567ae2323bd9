"""Relays on loopback: between each ordered pair of gateways one, which loses, delays, repeats and cuts by a seed.

A relay hands on what a real network would: where nobody listens behind it, its own port is closed for a while, so
that who sends there is refused too.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from random import Random
from typing import Any

from puffindeck_testing.ports import free_port, own_address

PROBE_S = 0.1  # how often a refused relay tries whether somebody listens again


@dataclass
class Faults:
    """What one direction does to datagrams."""

    loss: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)
    copies: float = 0.0
    cut: bool = False


class _In(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._relay.came(data)


class _Out(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def error_received(self, exc: Exception) -> None:
        if isinstance(exc, ConnectionRefusedError):
            self._relay.refused()


class Relay:
    """One direction."""

    def __init__(self, to: tuple[str, int], seed: str) -> None:
        self.to, self.faults, self._random = to, Faults(), Random(seed)
        self.passed = 0
        self._in: Any = None
        self._out: Any = None
        self._address = (own_address(), free_port(socket.SOCK_DGRAM))
        self._reopening: asyncio.Task[None] | None = None
        self._asked = 0.0

    async def open(self) -> str:
        """Its address."""
        loop = asyncio.get_running_loop()
        self._out, _ = await loop.create_datagram_endpoint(lambda: _Out(self), remote_addr=self.to)
        await self._listen()
        return "{}:{}".format(*self._address)

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._in, _ = await loop.create_datagram_endpoint(lambda: _In(self), local_addr=self._address)

    def came(self, data: bytes) -> None:
        faults = self.faults
        if faults.cut or self._random.random() < faults.loss:
            return
        for _ in range(1 + (self._random.random() < faults.copies)):
            low, high = faults.delay_s
            wait = low + (high - low) * self._random.random()
            asyncio.get_running_loop().call_later(wait, self._pass, data)

    def _pass(self, data: bytes) -> None:
        if not self._out.is_closing():
            self.passed += 1
            self._out.sendto(data)

    def refused(self) -> None:
        """Nobody listens there: nor does this end, until somebody does."""
        self._asked = asyncio.get_running_loop().time()
        if self._in is not None and not self.faults.cut:
            self._in.close()
            self._in = None
            self._reopening = asyncio.get_running_loop().create_task(self._reopen())

    async def _reopen(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sent = loop.time()
            self._out.sendto(b"?")  # an empty one is not sent at all
            await asyncio.sleep(PROBE_S)
            if self._asked < sent:
                break
        await self._listen()

    def close(self) -> None:
        if self._reopening is not None:
            self._reopening.cancel()
        for transport in (self._in, self._out):
            if transport is not None:
                transport.close()
