"""Stand-in clients, which record what gateways answer them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

ANSWER_TIMEOUT_S = 10.0


@dataclass
class ClientResult:
    """What one client was answered: the first answer, then what ended its connection."""

    request_id: str
    gateway: str
    requested: float  # Unix time in seconds
    answers: list[str] = field(default_factory=list)
    latency_s: float = 0.0


async def run_client(address: str, port: int, line: str, hold_s: float, result: ClientResult) -> None:
    """Send a first line, record the answer, and hold an open connection for up to `hold_s`.

    Beside the gateway's lines the answers are `no connection`, `closed`, `silence` and `reset`.
    """
    try:
        reader, writer = await asyncio.open_connection(address, port)
    except OSError:
        result.answers.append("no connection")
        return
    try:
        writer.write(line.encode() + b"\r\n")
        answer = (await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)).decode().strip()
        result.latency_s = time.time() - result.requested
        result.answers.append(answer or "closed")
        if answer.startswith("UP"):
            more = await asyncio.wait_for(reader.readline(), hold_s)
            result.answers.append(more.decode().strip() or "closed")
    except TimeoutError:
        if not result.answers:
            result.answers.append("silence")
    except OSError:
        result.answers.append("reset")
    finally:
        writer.close()
