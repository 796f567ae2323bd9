"""A node serves its clients while system calls fail with errors that Linux documents, and ejects no host for them."""

from __future__ import annotations

import asyncio
import errno
import signal
from pathlib import Path

import pytest

from puffindeck_faults.clients import RequestClass
from puffindeck_faults.fault_injector import SystemCall
from puffindeck_faults.records import ClientRecord
from puffindeck_faults.world import CLASSES, World

CHAT = CLASSES[0]
ONE_ATTEMPT = {"maxAttempts": 1}


def answers(records: list[ClientRecord]) -> list[str]:
    return [(record.answer or "none").partition(" ")[0] for record in records]


def start_clients(world: World, count: int, request_class: RequestClass = CHAT) -> list[ClientRecord]:
    return [world.clients.start("n0", world.nodes["n0"].port, request_class, 0.0) for _ in range(count)]


async def wait_until_closed(world: World, records: list[ClientRecord]) -> None:
    await world.wait_until(lambda: all(record.left or record.ended for record in records), "the clients to end")


@pytest.mark.parametrize(
    ("error", "times"),
    [
        ("EMFILE", 1),
        ("EMFILE", 20),
        ("ENFILE", 20),
        ("ENOBUFS", 20),
        ("ENOMEM", 20),
        ("ECONNABORTED", 20),
        ("EPERM", 20),
        ("EPROTO", 20),
    ],
)
def test_requests_are_served_after_accept_failed(tmp_path: Path, error: str, times: int) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            fault_injector = world.nodes["n0"].fault_injector
            fault_injector.fail(SystemCall.ACCEPT, getattr(errno, error), times=times)
            records = start_clients(world, 12)
            await wait_until_closed(world, records)
            assert fault_injector.failed(SystemCall.ACCEPT) == times
            assert answers(records) == ["UP"] * 12

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.SOCKET, "ENFILE"),
        (SystemCall.SOCKET, "EMFILE"),
        (SystemCall.SOCKET, "ENOBUFS"),
        (SystemCall.SOCKET, "ENOMEM"),
        (SystemCall.CONNECT, "EADDRNOTAVAIL"),
        (SystemCall.CONNECT, "EINTR"),
        (SystemCall.CONNECT, "ENETUNREACH"),
    ],
)
def test_single_allowed_attempt_is_repeated_after_a_local_failure_to_connect(
    tmp_path: Path, call: SystemCall, error: str
) -> None:
    async def scenario() -> None:
        async with World(tmp_path, limits=ONE_ATTEMPT) as world:
            node = world.nodes["n0"]
            node.fault_injector.fail(call, getattr(errno, error), times=8)
            records = start_clients(world, 4)
            await wait_until_closed(world, records)
            assert answers(records) == ["UP"] * 4
            assert "ejected after consecutive failures" not in node.log()  # the host did not cause the failures

    asyncio.run(scenario())


def test_requests_without_a_possible_attempt_are_rejected_by_their_deadline(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            node = world.nodes["n0"]
            node.fault_injector.fail(SystemCall.CONNECT, errno.EADDRNOTAVAIL)
            records = start_clients(world, 6)
            await wait_until_closed(world, records)
            assert set(answers(records)) == {"BUSY"}
            assert max(r.answered - r.sent for r in records if r.answered and r.sent) <= CHAT.deadline_ms / 1000 + 0.5
            node.fault_injector.clear_failures()
            after = start_clients(world, 6)
            await wait_until_closed(world, after)
            assert answers(after) == ["UP"] * 6

    asyncio.run(scenario())


@pytest.mark.parametrize("error", ["EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED"])
def test_request_is_retried_at_another_host_after_a_remote_connect_failure(tmp_path: Path, error: str) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            world.nodes["n0"].fault_injector.fail(SystemCall.CONNECT, getattr(errno, error), times=1)
            records = start_clients(world, 1)
            await wait_until_closed(world, records)
            assert answers(records) == ["UP"]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (SystemCall.RECV, "EINTR"),
        (SystemCall.RECV, "ENOMEM"),
        (SystemCall.RECV, "ENOBUFS"),
        (SystemCall.RECV, "EAGAIN"),
        (SystemCall.SEND, "EINTR"),
        (SystemCall.SEND, "ENOMEM"),
        (SystemCall.SEND, "ENOBUFS"),
        (SystemCall.SEND, "EAGAIN"),
        (SystemCall.EPOLL_WAIT, "EINTR"),
    ],
)
def test_transient_errors_close_no_connection(tmp_path: Path, call: SystemCall, error: str) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            fault_injector = world.nodes["n0"].fault_injector
            fault_injector.fail(call, getattr(errno, error), chance=0.5)
            records = [world.clients.start("n0", world.nodes["n0"].port, CHAT, 1.6) for _ in range(6)]
            await wait_until_closed(world, records)
            assert fault_injector.failed(call) > 0
            assert answers(records) == ["UP"] * 6
            assert [record.ended for record in records] == [None] * 6

    asyncio.run(scenario())


def test_clients_are_served_with_reads_and_writes_of_one_byte(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            world.nodes["n0"].fault_injector.limit_io_bytes(1)
            records = [world.clients.start("n0", world.nodes["n0"].port, CHAT, 1.6) for _ in range(6)]
            await wait_until_closed(world, records)
            assert answers(records) == ["UP"] * 6
            assert [record.ended for record in records] == [None] * 6

    asyncio.run(scenario())


def test_reload_is_retried_after_the_file_could_not_be_read(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with World(tmp_path) as world:
            node = world.nodes["n0"]
            path = node.folder / "config.json"
            path.rename(node.folder / "away")
            path.mkdir()  # EISDIR
            node.send_signal(signal.SIGHUP)
            await world.wait_until(lambda: "reload: tried again" in node.log(), "the failed reload")
            path.rmdir()
            (node.folder / "away").rename(path)
            await world.wait_until(lambda: "reload: done" in node.log(), "the second reload")

    asyncio.run(scenario())
