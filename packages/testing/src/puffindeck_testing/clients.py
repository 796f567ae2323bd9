"""Test clients that record the answers of gateways."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

ANSWER_TIMEOUT_S = 10.0


@dataclass
class ClientResult:
    """The answers that one client received: the first answer, then how its connection ended."""

    request_id: str
    gateway: str
    requested: float  # Unix time in seconds
    answers: list[str] = field(default_factory=list)
    latency_s: float = 0.0  # from the request to the first answer


async def run_client(address: str, port: int, line: str, hold_s: float, result: ClientResult) -> None:
    """Send a first line, record the answer, and keep an accepted connection open for up to `hold_s` seconds.

    Records the gateway's lines, or `no connection`, `closed`, `silence` (no line within 10 s) or `reset`.
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
            next_line = await asyncio.wait_for(reader.readline(), hold_s)
            result.answers.append(next_line.decode().strip() or "closed")
    except TimeoutError:
        if not result.answers:
            result.answers.append("silence")
    except OSError:
        result.answers.append("reset")
    finally:
        writer.close()
