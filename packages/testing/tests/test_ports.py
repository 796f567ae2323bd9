"""Allocated addresses and ports of test processes are not taken by other processes before they are used."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from itertools import islice
from pathlib import Path

import pytest

from puffindeck_testing.ports import (
    ADDRESS_COUNT,
    FIRST_PORT,
    LAST_PORT,
    LoopbackAddress,
    NoFreePortError,
    candidates,
    free_port,
    own_address,
    reserve_port,
)

EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def private_addresses() -> list[str]:
    """Return three addresses outside the usual candidates, derived from the process id so that test runs differ."""
    process_id = os.getpid()
    return [
        f"127.{first + (process_id >> 16 & 15)}.{process_id >> 8 & 255}.{process_id & 255}" for first in (96, 112, 128)
    ]


def listen(address: str, port: int) -> socket.socket:
    """Create a listener with SO_REUSEADDR, as Twisted and asyncio do."""
    return socket.create_server((address, port))


def test_process_can_listen_on_a_port_that_an_outgoing_connection_uses_on_another_address() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as outgoing,
    ):
        listen(own_address(), outgoing.getsockname()[1]).close()


def test_outgoing_connections_get_neither_the_own_address_nor_an_allocated_port() -> None:
    first, last = map(int, EPHEMERAL_PORTS.read_text().split())
    assert not range(max(first, FIRST_PORT), min(last, LAST_PORT) + 1)
    with listen(own_address(), free_port()) as server, socket.create_connection(server.getsockname()) as outgoing:
        assert outgoing.getsockname()[0] != own_address()


def test_address_has_one_owner_and_can_be_claimed_again_after_close() -> None:
    addresses = private_addresses()
    first, second = LoopbackAddress(addresses), LoopbackAddress(addresses)
    assert [first.address, second.address] == addresses[:2]
    with pytest.raises(NoFreePortError, match="no loopback address"):
        LoopbackAddress([first.address, second.address])
    released_address = first.address
    first.close()
    third = LoopbackAddress([released_address])
    assert third.address == released_address
    second.close()
    third.close()


def test_two_processes_with_the_same_first_candidate_claim_different_addresses() -> None:
    program = (
        "import sys\n"
        "from puffindeck_testing.ports import LoopbackAddress\n"
        "print(LoopbackAddress(sys.argv[1:]).address)\n"
    )
    addresses = [own_address(), *private_addresses()]
    completed = subprocess.run([sys.executable, "-c", program, *addresses], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == addresses[1]


def test_forked_process_claims_a_separate_address() -> None:
    parent_address = own_address()
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        os.write(writer, own_address().encode())
        os._exit(0)
    os.waitpid(child, 0)
    os.close(writer)
    with open(reader, "rb") as pipe:
        child_address = pipe.read().decode()
    assert child_address.startswith("127.")
    assert child_address != parent_address


def test_ports_are_allocated_once_and_ports_in_use_are_skipped() -> None:
    claim = LoopbackAddress(private_addresses())
    ports = [claim.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    with listen(claim.address, ports[-1] + 1):
        assert claim.free_port() == ports[-1] + 2
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.bind((claim.address, ports[-1] + 3))
        assert claim.free_port(socket.SOCK_DGRAM) == ports[-1] + 4
    claim.close()


def test_reserved_port_accepts_a_listener_with_reuseaddr_and_no_other_bind() -> None:
    with reserve_port("127.0.0.1") as reservation:
        port = int(reservation.getsockname()[1])
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port))
        with listen("127.0.0.1", port) as server, socket.create_connection(("127.0.0.1", port)):
            server.accept()[0].close()


def test_candidates_start_at_the_given_index_and_wrap_around() -> None:
    assert list(islice(candidates(258), 2)) == ["127.64.1.2", "127.64.1.3"]
    assert list(islice(candidates(ADDRESS_COUNT - 1), 2)) == ["127.79.255.255", "127.64.0.0"]
