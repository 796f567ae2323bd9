"""Planned restart: does each QUIC request that the node has taken get its final answer?"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from quic import Box, QuicClient, write_config  # noqa: E402
from world import CannotRun, Node, Record, free_port, operator_libraries, play, trouble  # noqa: E402

CLIENTS = 6
LIMIT_S = 1.8  # hardLimitMs of the class: the client gives up after this time
LATE_S = 0.5 + 0.05 + 0.02  # up to half a second late is not lost; the slack of sockets and of answers
BOX_DELAY_S = 0.8  # the box answers within the time that its client waits
TERM_AFTER_S = 0.2  # SIGTERM comes this long after the first flights


async def case(record: Record, folder: Path) -> bool:
    """Send first flights, tell the node to end, and count the clients without an answer."""
    box = Box(record, "box-a", 1, BOX_DELAY_S)
    await box.start()
    node = Node(record, folder, "edge1")
    node.environment = operator_libraries()
    quic_port = free_port(socket.SOCK_DGRAM)
    config = folder / "edge1.toml"
    write_config(config, node.port, quic_port, [box], int(LIMIT_S * 1000), "pure")
    try:
        await node.start(f" --config {config}")
        clients = [QuicClient(record, quic_port) for _ in range(CLIENTS)]
        for client in clients:
            await client.begin()
        await asyncio.sleep(TERM_AFTER_S)
        if any(client.id not in box.seen for client in clients):
            raise CannotRun("the node has not taken every first flight")
        if trouble():
            node.signal(signal.SIGTERM)
        await asyncio.sleep(LIMIT_S + LATE_S)
        lost = 0
        for client in clients:
            in_time = client.answered is not None and client.answered <= client.sent + LIMIT_S + LATE_S
            record(f"client {client.id.hex()}: {'answered' if in_time else 'NO ANSWER IN TIME'}")
            lost += not in_time
        code = node.process.returncode if node.process is not None else None
        record(f"{lost} of {CLIENTS} requests without an answer; the node's exit code: {code}")
        return lost > 0
    finally:
        await node.kill()


if __name__ == "__main__":
    play(case, HERE)
