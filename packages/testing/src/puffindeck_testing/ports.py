"""Addresses and ports for processes that tests start, which no other process on the machine can take first.

A port that is probed and let go again may be taken before the tested process listens: by an outgoing connection,
which Linux gives a port of `net.ipv4.ip_local_port_range` on 127.0.0.1, or by other tests that run at the same time.
Therefore each test process listens on an address of its own in 127.0.0.0/8, and its ports lie below that range.
"""

from __future__ import annotations

import itertools
import os
import socket
import threading
from collections.abc import Iterable, Iterator

CLAIM_PORT = 19_999
"""The port of an address that its owner holds, so that no other process claims the address."""

FIRST_PORT = 20_000
LAST_PORT = 32_767
"""The ports that are handed out, below those that Linux hands out by itself (ip(7): 32768 to 60999)."""

ADDRESS_COUNT = 1 << 20
"""The addresses to choose from: 127.64.0.0 to 127.79.255.255."""


class NoFreePortError(RuntimeError):
    """No address or port is left: end the processes of earlier test runs."""


class LoopbackAddress:
    """An address of 127.0.0.0/8 that belongs to its owner until `close` or the end of the process."""

    def __init__(self, candidates: Iterable[str]) -> None:
        """Claim the first candidate that nobody else has claimed. Raises NoFreePortError."""
        self._claim = _claim_first(candidates)
        self.address: str = self._claim.getsockname()[0]
        self._ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))

    def free_port(self, kind: int = socket.SOCK_STREAM) -> int:
        """A port of this address on which nobody listens, not handed out before while others are left.

        `kind` is SOCK_STREAM (TCP) or SOCK_DGRAM (UDP). Raises NoFreePortError.
        """
        for port in itertools.islice(self._ports, LAST_PORT + 1 - FIRST_PORT):
            if self._is_free(port, kind):
                return port
        raise NoFreePortError(f"all ports of {self.address} are taken")

    def _is_free(self, port: int, kind: int) -> bool:
        """Only processes that outlived an earlier owner of the address can hold the port."""
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((self.address, port))
            except OSError:
                return False
            return True

    def close(self) -> None:
        """Give up the address."""
        self._claim.close()


def _claim_first(candidates: Iterable[str]) -> socket.socket:
    """A socket bound to the first address that is not claimed yet."""
    for address in candidates:
        claim = socket.socket()
        try:
            claim.bind((address, CLAIM_PORT))
        except OSError:
            claim.close()
        else:
            return claim
    raise NoFreePortError("no loopback address is left to claim")


def candidates(first: int) -> Iterator[str]:
    """All addresses to choose from, beginning with the one of this number."""
    for number in range(first, first + ADDRESS_COUNT):
        offset = number % ADDRESS_COUNT
        yield f"127.{64 + (offset >> 16)}.{offset >> 8 & 255}.{offset & 255}"


_lock = threading.Lock()
_claimed: dict[int, LoopbackAddress] = {}  # by process id: a forked child has an address of its own


def _process_address() -> LoopbackAddress:
    """The address of this process, claimed at the first call."""
    process = os.getpid()
    with _lock:
        if process not in _claimed:
            _claimed[process] = LoopbackAddress(candidates(process))
        return _claimed[process]


def own_address() -> str:
    """The loopback address on which only processes of this test process listen. Raises NoFreePortError."""
    return _process_address().address


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of `own_address()` on which nobody listens (see `LoopbackAddress.free_port`). Raises NoFreePortError."""
    return _process_address().free_port(kind)


def reserve_port(address: str) -> socket.socket:
    """A TCP socket bound to a port of an address that other code listens on, where that can't be `own_address()`.

    While it is open no outgoing connection gets the port and nobody else can bind it, but for listeners that set
    SO_REUSEADDR, as those of Twisted and asyncio do. The option is set after the binding, so that two processes
    can't hold the same port. The caller closes the socket.
    """
    held = socket.socket()
    held.bind((address, 0))
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return held
