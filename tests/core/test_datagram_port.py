"""A UDP socket outlives errors that pass: a member or a front that stopped hearing would not know it."""

from __future__ import annotations

import errno
import socket
import time
from typing import Any
from unittest.mock import patch

import pytest
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import DatagramProtocol

from puffindeck.core.datagram_port import DatagramPort, listen_datagrams


class Heard(DatagramProtocol):
    """Keeps what it is sent."""

    def __init__(self) -> None:
        self.datagrams: list[bytes] = []

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.datagrams.append(datagram)


class Failing:
    """A socket whose first reads fail."""

    def __init__(self, held: socket.socket, errors: list[OSError]) -> None:
        self._held, self._errors = held, errors

    def recvfrom(self, size: int) -> Any:
        if self._errors:
            raise self._errors.pop()
        return self._held.recvfrom(size)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._held, name)


def played(number: int) -> tuple[list[bytes], DatagramPort]:
    """A datagram is sent to a socket whose first read fails; what was heard."""
    reactor: Any = EPollReactor()
    heard = Heard()
    port = listen_datagrams(reactor, 0, heard, "127.0.0.1")
    failing: Any = Failing(port.socket, [OSError(number, "once")])
    with patch.object(port, "socket", failing), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"word", ("127.0.0.1", port.getHost().port))
        ends = time.monotonic() + 5
        while not heard.datagrams and port.connected and time.monotonic() < ends:
            reactor.iterate(0.01)
    return heard.datagrams, port


@pytest.mark.parametrize("name", ["ENOMEM", "ENOBUFS", "EINTR", "EAGAIN"])
def test_an_error_that_passes_costs_nothing(name: str) -> None:
    heard, port = played(getattr(errno, name))
    assert heard == [b"word"]
    port.stopListening()
