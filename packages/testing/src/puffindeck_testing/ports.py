"""Allocates loopback addresses and ports for the processes that tests start, without races for a port.

Another process may take a port between the probe that found it free and the listen of the tested process: Linux
assigns outgoing connections on 127.0.0.1 a port of `net.ipv4.ip_local_port_range`, and other test runs may choose
the same port. Therefore each test process listens on a separate address of 127.0.0.0/8, on ports below that range.
"""

from __future__ import annotations

import itertools
import os
import socket
import threading
from collections.abc import Iterable, Iterator

CLAIM_PORT = 19_999
"""The port that the owner of an address binds, so that no other process can claim the address."""

FIRST_PORT = 20_000
LAST_PORT = 32_767
"""The range of allocated ports ends below the ephemeral ports of Linux (ip(7): 32768 to 60999)."""

ADDRESS_COUNT = 1 << 20
"""The number of candidate addresses: 127.64.0.0 to 127.79.255.255."""


class NoFreePortError(RuntimeError):
    """All candidate addresses or ports are in use; processes of earlier test runs may still be running."""


class LoopbackAddress:
    """A claim to an address of 127.0.0.0/8, which lasts until `close` or the end of the process."""

    def __init__(self, candidates: Iterable[str]) -> None:
        """Claim the first candidate that no process has claimed. Raises NoFreePortError."""
        self._claim = _claim_first(candidates)
        self.address: str = self._claim.getsockname()[0]
        self._ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))

    def free_port(self, kind: int = socket.SOCK_STREAM) -> int:
        """Return a port of this address that no process uses. Ports repeat only after the whole range was tried.

        `kind` is SOCK_STREAM (TCP) or SOCK_DGRAM (UDP). Raises NoFreePortError.
        """
        for port in itertools.islice(self._ports, LAST_PORT + 1 - FIRST_PORT):
            if self._is_free(port, kind):
                return port
        raise NoFreePortError(f"all ports of {self.address} are taken")

    def _is_free(self, port: int, kind: int) -> bool:
        """Return whether the port can be bound.

        A process that outlived an earlier owner of the address may still use it.
        """
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((self.address, port))
            except OSError:
                return False
            return True

    def close(self) -> None:
        """Release the address."""
        self._claim.close()


def _claim_first(candidates: Iterable[str]) -> socket.socket:
    """Return a socket bound to `CLAIM_PORT` of the first address that is not claimed yet."""
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
    """Yield all candidate addresses, starting at the address with index `first`."""
    for number in range(first, first + ADDRESS_COUNT):
        offset = number % ADDRESS_COUNT
        yield f"127.{64 + (offset >> 16)}.{offset >> 8 & 255}.{offset & 255}"


_lock = threading.Lock()
_claimed: dict[int, LoopbackAddress] = {}  # by process id, because a forked child needs a separate address


def _process_address() -> LoopbackAddress:
    """Return the address of this process, which the first call claims."""
    process_id = os.getpid()
    with _lock:
        if process_id not in _claimed:
            _claimed[process_id] = LoopbackAddress(candidates(process_id))
        return _claimed[process_id]


def own_address() -> str:
    """Return the loopback address reserved for this process and the processes it starts. Raises NoFreePortError."""
    return _process_address().address


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return an unused port of `own_address()` (see `LoopbackAddress.free_port`). Raises NoFreePortError."""
    return _process_address().free_port(kind)


def reserve_port(address: str) -> socket.socket:
    """Reserve a TCP port of an address, for tested code that can't listen on `own_address()`.

    Returns a socket bound to the port, which the caller closes. While the socket is open, outgoing connections don't
    get the port, and only listeners that set SO_REUSEADDR can bind it, as those of Twisted and asyncio do. The
    option is set after the port is bound, so that two processes can't reserve the same port.
    """
    reservation = socket.socket()
    reservation.bind((address, 0))
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reservation
