"""A connection that was open at a draining host before the run: does the node bring it up within 40 s?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from world import Client, Discovery, Host, Node, Record, play, settings, trouble  # noqa: E402

LIMIT_S = 40.0  # a connection of before the run that is not up after this time is lost
CLIENTS_PER_HOST = 3


async def case(record: Record, folder: Path) -> bool:
    """Start a node while a host drains, have the clients of before the run come, and count those not up."""
    hosts = [Host(record, f"box-{letter}") for letter in "abc"]
    for host in hosts:
        await host.start()
    if trouble():
        hosts[0].state = "DRAINING"
    discovery = Discovery(record, hosts)
    await discovery.start()
    node = Node(record, folder)
    node.configure(discovery, settings())
    try:
        await node.start()
        await asyncio.sleep(1.0)
        clients = []
        for host in hosts:
            for _ in range(CLIENTS_PER_HOST):
                client = Client(record, node.port, "item-watch", int(LIMIT_S * 1000))
                client.extra = f",at={host.name}"
                clients.append(client.begin())
        await asyncio.sleep(LIMIT_S + 1.5)
        lost = 0
        for client in clients:
            place = client.extra.partition("at=")[2]
            host = next(host for host in hosts if host.name == place)
            is_up = bool(client.answer) and client.answer == f"UP r-{place}-{client.id}"
            record(f"client {client.id} of {place} ({host.state}): {client.answer or 'no answer'}")
            lost += not is_up
        record(f"{lost} of {len(clients)} connections of before the run are not up after {LIMIT_S:g} s")
        return lost > 0
    finally:
        await node.kill()


if __name__ == "__main__":
    play(case, HERE)
