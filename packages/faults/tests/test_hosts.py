"""A host notes what came of a first line, however its connection ended."""

from __future__ import annotations

import asyncio
import socket

import pytest

from puffindeck_faults.hosts import MAX_FIRST_LINE_BYTES, RESET_ON_CLOSE, Host
from puffindeck_faults.records import Attempt, Records
from puffindeck_testing.ports import own_address

LINE = "OPEN c 1f c=chat,d=987,g=5\r\n"


def received(text: str, *, reset: bool) -> Attempt:
    """What a host notes of a connection that sends `text`, octet by octet, and ends."""

    async def story() -> Attempt:
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
            await asyncio.sleep(0.05)  # what the host's machine has not read yet may be lost by a reset
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()
        async with asyncio.timeout(5):
            while not records.attempts or records.attempts[0].closed is None:
                await asyncio.sleep(0.01)
        await host.kill()
        return records.attempts[0]

    return asyncio.run(story())


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("text", ["", "O", "OPEN c 1", LINE[:-1]])
def test_a_part_of_a_first_line_is_noted_as_it_came(text: str, reset: bool) -> None:
    attempt = received(text, reset=reset)
    assert (attempt.request, attempt.partial_line, attempt.read) == ("", text, None)
    assert (attempt.first_byte is None) == (text == "")


@pytest.mark.parametrize(("text", "request_id"), [(LINE, "c"), ("OPEN c\r\n", "?")])
def test_a_complete_first_line_leaves_no_part(text: str, request_id: str) -> None:
    attempt = received(text, reset=False)
    assert (attempt.request, attempt.partial_line) == (request_id, "")
    assert attempt.read is not None


def test_a_line_without_an_end_is_noted_up_to_a_limit() -> None:
    attempt = received("x" * (MAX_FIRST_LINE_BYTES + 9), reset=False)
    assert attempt.partial_line == "x" * MAX_FIRST_LINE_BYTES
    assert attempt.read is None
