"""A host records the received part of a first line, whether the connection is closed or reset."""

from __future__ import annotations

import asyncio
import socket

import pytest

from puffindeck_faults.hosts import MAX_FIRST_LINE_BYTES, RESET_ON_CLOSE, Host
from puffindeck_faults.records import Attempt, Records
from puffindeck_testing.ports import own_address

LINE = "OPEN c 1f c=chat,d=987,g=5\r\n"


def record_attempt(text: str, *, reset: bool) -> Attempt:
    """Send `text` to a host octet by octet, end the connection, and return the host's record of the attempt."""

    async def scenario() -> Attempt:
        records = Records()
        host = Host("h0", records, own_address())
        await host.start()
        _, writer = await asyncio.open_connection(own_address(), host.port)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for octet in text if len(text) < 100 else (text,):
            writer.write(octet.encode())
            await writer.drain()
        if reset:
            await asyncio.sleep(0.05)  # a reset may discard data that the host has not read yet
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()
        async with asyncio.timeout(5):
            while not records.attempts or records.attempts[0].closed is None:
                await asyncio.sleep(0.01)
        await host.kill()
        return records.attempts[0]

    return asyncio.run(scenario())


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("text", ["", "O", "OPEN c 1", LINE[:-1]])
def test_partial_first_line_is_recorded_unchanged(text: str, reset: bool) -> None:
    attempt = record_attempt(text, reset=reset)
    assert (attempt.request, attempt.partial_line, attempt.read) == ("", text, None)
    assert (attempt.first_byte is None) == (text == "")


@pytest.mark.parametrize(("text", "request_id"), [(LINE, "c"), ("OPEN c\r\n", "?")])
def test_complete_first_line_is_not_recorded_as_partial(text: str, request_id: str) -> None:
    attempt = record_attempt(text, reset=False)
    assert (attempt.request, attempt.partial_line) == (request_id, "")
    assert attempt.read is not None


def test_line_without_an_end_is_recorded_up_to_the_limit() -> None:
    attempt = record_attempt("x" * (MAX_FIRST_LINE_BYTES + 9), reset=False)
    assert attempt.partial_line == "x" * MAX_FIRST_LINE_BYTES
    assert attempt.read is None
