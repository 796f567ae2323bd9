"""Addresses and ports of test processes: nobody else takes one between the choice and the listening."""

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
    """Three addresses that no other test run claims: outside those to choose from, and by this process's id."""
    process = os.getpid()
    return [f"127.{first + (process >> 16 & 15)}.{process >> 8 & 255}.{process & 255}" for first in (96, 112, 128)]


def listen(address: str, port: int) -> socket.socket:
    """A listener with SO_REUSEADDR, as Twisted and asyncio make theirs."""
    return socket.create_server((address, port))


def test_an_outgoing_connection_on_the_same_port_does_not_keep_a_process_from_listening() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as outgoing,
    ):
        listen(own_address(), outgoing.getsockname()[1]).close()


def test_outgoing_connections_do_not_get_the_own_address_or_a_port_that_is_handed_out() -> None:
    first, last = map(int, EPHEMERAL_PORTS.read_text().split())
    assert not range(max(first, FIRST_PORT), min(last, LAST_PORT) + 1)
    with listen(own_address(), free_port()) as server, socket.create_connection(server.getsockname()) as outgoing:
        assert outgoing.getsockname()[0] != own_address()


def test_an_address_has_one_owner_and_is_free_again_after_its_end() -> None:
    some = private_addresses()
    first, second = LoopbackAddress(some), LoopbackAddress(some)
    assert [first.address, second.address] == some[:2]
    with pytest.raises(NoFreePortError, match="no loopback address"):
        LoopbackAddress([first.address, second.address])
    taken = first.address
    first.close()
    third = LoopbackAddress([taken])
    assert third.address == taken
    second.close()
    third.close()


def test_two_processes_have_different_addresses_though_they_prefer_the_same() -> None:
    program = (
        "import sys\n"
        "from puffindeck_testing.ports import LoopbackAddress\n"
        "print(LoopbackAddress(sys.argv[1:]).address)\n"
    )
    preferred = [own_address(), *private_addresses()]
    done = subprocess.run([sys.executable, "-c", program, *preferred], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == preferred[1]


def test_a_forked_process_has_an_address_of_its_own() -> None:
    own = own_address()
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        os.write(writer, own_address().encode())
        os._exit(0)
    os.waitpid(child, 0)
    os.close(writer)
    with open(reader, "rb") as pipe:
        theirs = pipe.read().decode()
    assert theirs.startswith("127.")
    assert theirs != own


def test_ports_are_not_handed_out_twice_and_taken_ones_are_passed_over() -> None:
    mine = LoopbackAddress(private_addresses())
    ports = [mine.free_port() for _ in range(50)]
    assert len(set(ports)) == 50
    with listen(mine.address, ports[-1] + 1):
        assert mine.free_port() == ports[-1] + 2
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        datagrams.bind((mine.address, ports[-1] + 3))
        assert mine.free_port(socket.SOCK_DGRAM) == ports[-1] + 4
    mine.close()


def test_a_held_port_is_listened_on_by_its_holder_and_bound_by_nobody_else() -> None:
    with reserve_port("127.0.0.1") as held:
        port = int(held.getsockname()[1])
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port))
        with listen("127.0.0.1", port) as server, socket.create_connection(("127.0.0.1", port)):
            server.accept()[0].close()


def test_all_addresses_are_candidates_in_turn_beginning_with_the_one_of_a_number() -> None:
    assert list(islice(candidates(258), 2)) == ["127.64.1.2", "127.64.1.3"]
    assert list(islice(candidates(ADDRESS_COUNT - 1), 2)) == ["127.79.255.255", "127.64.0.0"]
