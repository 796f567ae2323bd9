"""A new configuration adds a class whose aim is 0: does the node still answer?"""

from __future__ import annotations

import asyncio
import copy
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from world import CannotRun, Client, Discovery, Host, Node, Record, ask, class_table, play, settings, trouble  # noqa: E402

LIMIT_MS = 3000
LATE_S = 0.5 + 0.05 + 0.02  # up to half a second late is not lost; the slack of sockets and of answers
LEARN_S = 1.2  # clients take up a new class this long after SIGHUP
WATCHED_S = 24.0  # a thread that neither waits nor ends for 20 s is a crash
KILL_S = 3.7  # the longest deadline and 0.7 s after SIGTERM


async def answers_ping(record: Record, node: Node) -> bool:
    """Return whether the node answers PING within a second."""
    try:
        answer = await ask(node.port, "PING")
    except (OSError, TimeoutError) as error:
        answer = type(error).__name__
    record(f"PING: {answer}")
    return answer == "PONG"


async def case(record: Record, folder: Path) -> bool:
    """Add the class, send one request of it and some of the old class, and see whether they are answered."""
    hosts = [Host(record, f"box-{letter}") for letter in "abc"]
    for host in hosts:
        await host.start()
    discovery = Discovery(record, hosts)
    await discovery.start()
    node = Node(record, folder)
    node.configure(discovery, settings())
    try:
        await node.start()
        before = [Client(record, node.port, "item-watch", LIMIT_MS).begin() for _ in range(4)]
        await asyncio.sleep(1.0)
        if not all((client.answer or "").startswith("UP") for client in before):
            raise CannotRun("the clients of before the change are not served")
        node.document["settings"] = copy.deepcopy(node.document["settings"])
        aim_ms = 0.0 if trouble() else 500.0
        node.document["settings"]["classes"].append(class_table("pickup-board", aim_ms, float(LIMIT_MS), 1.0))
        node.write()
        node.signal(signal.SIGHUP)
        await asyncio.sleep(LEARN_S)
        after = [Client(record, node.port, "pickup-board", LIMIT_MS).begin()]
        await asyncio.sleep(0.2)
        after += [Client(record, node.port, "item-watch", LIMIT_MS).begin() for _ in range(4)]
        pongs = 0
        for _ in range(int(WATCHED_S)):
            waited = record.now()
            pongs += await answers_ping(record, node)
            await asyncio.sleep(max(0.0, waited + 1.0 - record.now()))
        lost = 0
        for client in after:
            limit = (client.sent or 0.0) + LIMIT_MS / 1000 + LATE_S
            in_time = client.answered is not None and client.answered <= limit
            record(f"{client.cls} {client.id}: {client.answer or 'NO ANSWER'}")
            lost += not in_time
        node.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_S)
        held = [client for client in [*before, *after] if client.sent is not None and client.ended is None]
        code = node.process.returncode if node.process is not None else None
        record(f"{pongs} of {int(WATCHED_S)} PINGs answered; {lost} of {len(after)} requests lost")
        record(f"{KILL_S} s after SIGTERM: {len(held)} connections held, exit code {code}")
        return pongs == 0 and lost > 0
    finally:
        await node.kill()


if __name__ == "__main__":
    play(case, HERE)
