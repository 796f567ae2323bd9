"""Memory that a connection holds whose peer does not read, or sends little."""

from __future__ import annotations

import tracemalloc
from typing import Any

from puffindeck.net.transports import BUFFER_OCTETS
from tests.support.raw_client_test_case import REQUEST, RawClientTestCase

FLOOD = b"x" * (8 << 20)  # more than the socket buffers of both connections hold


def pending_octets(transport: Any) -> int:
    """Return the octets of output that a transport holds in this process."""
    return int(len(transport.dataBuffer) - transport.offset + transport._tempDataLen)


class BufferTests(RawClientTestCase):
    """Connections of a node."""

    async def flooded_transport(self) -> Any:
        """Return the transport of a client that does not read while its host sends without end."""
        sock, protocol = await self.connect_accepted()
        sock.sendall(REQUEST.encode() + b"\r\n")
        _, host = await self.accept_attempt()
        await host.line()
        host.write(b"UP r\r\n" + FLOOD)
        transport = protocol.transport
        await self.wait_until(lambda: transport.producerPaused, "back-pressure")
        return transport

    # Guards against a node that is killed for memory because hundreds of clients do not read.
    async def test_client_that_does_not_read_holds_two_buffers_at_most(self) -> None:
        self.build()
        transport = await self.flooded_transport()
        self.assertLessEqual(pending_octets(transport), 2 * BUFFER_OCTETS)
        self.assertLessEqual(transport.bufferSize, BUFFER_OCTETS)

    # Guards against a node that is killed for memory because hundreds of clients stop within a line.
    # A buffer that is shrunk to what was read keeps the rest of its memory from other reads.
    async def test_read_of_little_data_allocates_little_memory(self) -> None:
        self.build()
        sock, protocol = await self.connect_accepted()
        sock.sendall(b"OPEN ")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        protocol.transport.doRead()
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual(protocol._buffer, b"OPEN ")
        self.assertLess(peak - before, BUFFER_OCTETS)
