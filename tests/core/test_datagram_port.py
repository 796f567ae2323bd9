"""A UDP socket stays open after transient errors.

A fleet member or a front would not notice that its socket was closed, and would receive no more datagrams.
"""

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


class DatagramRecorder(DatagramProtocol):
    """Records the datagrams that it receives."""

    def __init__(self) -> None:
        self.datagrams: list[bytes] = []

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.datagrams.append(datagram)


class FailingSocket:
    """A socket whose first reads fail with the given errors."""

    def __init__(self, wrapped: socket.socket, errors: list[OSError]) -> None:
        self._wrapped, self._errors = wrapped, errors

    def recvfrom(self, size: int) -> Any:
        if self._errors:
            raise self._errors.pop()
        return self._wrapped.recvfrom(size)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._wrapped, name)


def receive_after_error(error_number: int) -> tuple[list[bytes], DatagramPort]:
    """Send a datagram to a socket whose first read fails; return the received datagrams and the port."""
    reactor: Any = EPollReactor()
    recorder = DatagramRecorder()
    port = listen_datagrams(reactor, 0, recorder, "127.0.0.1")
    failing: Any = FailingSocket(port.socket, [OSError(error_number, "once")])
    with patch.object(port, "socket", failing), socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"word", ("127.0.0.1", port.getHost().port))
        give_up_at = time.monotonic() + 5
        while not recorder.datagrams and port.connected and time.monotonic() < give_up_at:
            reactor.iterate(0.01)
    return recorder.datagrams, port


@pytest.mark.parametrize("name", ["ENOMEM", "ENOBUFS", "EINTR", "EAGAIN"])
def test_datagram_is_received_after_transient_error(name: str) -> None:
    datagrams, port = receive_after_error(getattr(errno, name))
    assert datagrams == [b"word"]
    port.stopListening()
