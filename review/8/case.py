"""A QUIC box dies while it holds a request that must not be repeated: is the request run a second time?"""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from quic import Box, QuicClient, write_config  # noqa: E402
from world import CannotRun, Node, Record, free_port, operator_libraries, play, trouble  # noqa: E402

CLIENTS = 12
LIMIT_S = 1.8  # hardLimitMs of the class
BOX_DELAY_S = 0.6  # a box answers this long after a first flight
DEATH_AFTER_S = 0.3  # the box with the most requests, one of four, dies this long after the first flights


async def case(record: Record, folder: Path) -> bool:
    """Send first flights, end one box, and count the requests that two boxes have got."""
    boxes = [Box(record, f"box-{letter}", number, BOX_DELAY_S) for number, letter in enumerate("abcd", 1)]
    for box in boxes:
        await box.start()
    node = Node(record, folder, "edge1")
    node.environment = operator_libraries()
    quic_port = free_port(socket.SOCK_DGRAM)
    config = folder / "edge1.toml"
    write_config(config, node.port, quic_port, boxes, int(LIMIT_S * 1000), "side_effect")
    try:
        await node.start(f" --config {config}")
        clients = [QuicClient(record, quic_port) for _ in range(CLIENTS)]
        for client in clients:
            await client.begin()
        await asyncio.sleep(DEATH_AFTER_S)
        if sum(len(box.seen) for box in boxes) != CLIENTS:
            raise CannotRun("the node has not taken every first flight")
        if trouble():
            max(boxes, key=_load).die()
        await asyncio.sleep(LIMIT_S + 0.7)
        twice = 0
        for client in clients:
            at = {
                box.name: [f"{time:.3f}" for time in box.seen[client.id]]
                for box in boxes
                if client.id in box.seen
            }
            has_two = len(at) > 1
            record(f"client {client.id.hex()}: {at}{' AT TWO BOXES' if has_two else ''}")
            twice += has_two
        record(f"{twice} of {CLIENTS} requests reached two boxes")
        return twice > 0
    finally:
        await node.kill()


def _load(box: Box) -> int:
    return len(box.seen)


if __name__ == "__main__":
    play(case, HERE)
