"""The octets of the simulator's frames, in sessions with every kind of event and action."""

from __future__ import annotations

import json
from struct import pack, unpack_from
from typing import Any

import pytest

from tests.compatibility import bindings

SETTINGS: dict[str, Any] = {
    "classes": [
        {"aimMs": 300, "hardLimitMs": 1200, "repeat": "pure", "name": "read", "worth": 2.0},
        {"aimMs": 300, "hardLimitMs": 1200, "repeat": "token", "group": "zone", "keyTtlMs": 900},
        {"aimMs": 300, "hardLimitMs": 1200, "repeat": "side_effect"},
    ],
    "peersTotal": 2,
    "membershipMode": "subscribe",
    "weights": "nominal",
    "limits": {"maxAttempts": 3, "cancelling": True, "retryAfter": True, "maxRetryAfterMs": 2000},
    "rules": {
        "drainGraceMs": 500,
        "answerSlackMs": 8,
        "coldFrom": 0.2,
        "warmAfterMs": 9000,
        "overloadFactor": 3,
        "fallMs": 2000,
    },
    "familyInfo": {"messageAimMs": [100, 100, 100], "tellsLoad": True, "tellsDelay": True},
}


def record(code: int, layout: str, *fields: Any) -> bytes:
    data = pack(layout, *fields)
    return pack("<BI", code, len(data)) + data


def settings() -> bytes:
    text = json.dumps(SETTINGS, separators=(",", ":")).encode()
    return record(0, f"<QI{len(text)}s", 7, len(text), text)


def endpoints(kind: int, version: int, *rows: tuple[int, int, int]) -> bytes:
    """A record with an endpoint list; each row has number, zone and state."""
    data = pack("<BII", kind, version, len(rows))
    for number, zone, state in rows:
        data += pack("<IHBHBfd", number, zone, 0, 0, state, 1.0, 0.0)
    return pack("<BI", 1, len(data)) + data


def request(number: int, request_class: int, key: int = 0, left_ms: float = 1200.0) -> bytes:
    return record(2, "<IBHQddQB", number, request_class, 0, key, left_ms, 4.0, 0, 1)


def session(*steps: tuple[float, list[bytes]]) -> bytes:
    """Batches for one instance, each with its time and records."""
    frames = b""
    for number, (now_ms, records) in enumerate(steps, 1):
        body = record(12, "<H", 3) + b"".join(records)
        frames += pack("<IIdI", len(body) + 16, 1 + len(records), now_ms, number) + body
    return frames


def opening() -> list[bytes]:
    return [settings(), endpoints(2, 1, (101, 0, 1), (102, 1, 1), (103, 0, 2))]


def done(number: int, outcome: int, endpoint: int, attempt: int, final: int) -> bytes:
    return record(4, "<IBIBBd", number, outcome, endpoint, attempt, final, 20.0)


SESSIONS: dict[str, bytes] = {
    "established, reporting and ended": session(
        (1000.0, [*opening(), request(55, 0, key=9)]),
        (1010.0, [record(3, "<IIdB", 55, 101, 10.0, 0), record(3, "<IIdB", 55, 102, 10.0, 0)]),
        (1020.0, [record(11, "<IBIBf", 55, 0, 101, 1, 9.0), record(11, "<IBIBf", 55, 0, 101, 2, 80.0)]),
        (1900.0, [record(6, "<I", 1), record(6, "<I", 2)]),
        (2600.0, [record(10, "<IIBHdQQdB", 77, 101, 0, 0, 3.0, 0, 5, 0.0, 1)]),
        (2700.0, [done(55, 1, 101, 0, 1)]),
    ),
    "retried, rejected and failed": session(
        (1000.0, [*opening(), request(61, 0), request(62, 1), request(63, 2)]),
        (1050.0, [done(61, 3, 101, 0, 0), done(62, 2, 101, 0, 0), done(63, 2, 101, 0, 0)]),
        (1050.0, [done(61, 3, 102, 0, 0), done(62, 2, 102, 0, 0), done(63, 2, 102, 0, 0)]),
        (2300.0, [record(6, "<I", number) for number in range(1, 9)]),
    ),
    "cancelled and migrated": session(
        (1000.0, [*opening(), request(71, 0), request(72, 0)]),
        (1005.0, [record(3, "<IIdB", 72, 101, 10.0, 0)]),
        (1100.0, [record(5, "<I", 71)]),
        (1150.0, [record(3, "<IIdB", 71, 101, 150.0, 0)]),
        (1200.0, [done(71, 7, 101, 0, 1), endpoints(4, 2, (101, 0, 0), (102, 1, 0))]),
        (3000.0, [record(6, "<I", number) for number in range(1, 9)]),
    ),
    "list failed, and a list without endpoints": session(
        (1000.0, [settings(), endpoints(1, 0), request(81, 0, left_ms=300.0)]),
        (1400.0, [record(6, "<I", number) for number in range(1, 9)]),
        (1800.0, [record(6, "<I", number) for number in range(1, 9)]),
    ),
}
REPLIES: dict[str, str] = {
    "established, reporting and ended": (
        "0400000037000000010000000d0200000003000a0100000001001000000037000000650000000000000000c0"
        "9240040c000000404bcb6e2cdb62400100000000000000040000000200000000000000040000000300000002"
        "0000001c000000040000000d020000000300040c0000000000000000c0724002000000000000000400000005"
        "000000000000000400000006000000"
    ),
    "retried, rejected and failed": (
        "0600000061000000010000000d0200000003000a010000000100100000003d000000660000000000000000c0"
        "924000100000003e000000660000000000000000c0924000100000003f000000650000000000000000c09240"
        "040c000000404bcb6e2cdb624001000000040000003e000000020000000d02000000030000100000003d0000"
        "00650000000000000000f8914000100000003e000000660000000000000000f8914002040000003f00000000"
        "00000004000000030000000600000042000000040000000d02000000030002040000003d0000000305000000"
        "3d0000000102040000003e00000003050000003e00000001040c0000000000000000c0624002000000"
    ),
    "cancelled and migrated": (
        "050000004c000000010000000d0200000003000a0100000001001000000047000000660000000000000000c0"
        "9240001000000048000000660000000000000000c09240040c000000404bcb6e2cdb62400100000000000000"
        "04000000020000000200000015000000030000000d0200000003000305000000470000000002000000140000"
        "00040000000d0200000003000c0400000047000000000000000400000005000000020000001c000000060000"
        "000d020000000300040c000000000000000030a14002000000"
    ),
    "list failed, and a list without endpoints": (
        "0300000022000000010000000d0200000003000a0100000001040c0000000000000000004440010000000400"
        "000033000000020000000d020000000300010c000000510000003685a53f8ab290400a0100000001040c0000"
        "00000000000040af4002000000020000001c000000030000000d020000000300040c000000000000000020ac"
        "4003000000"
    ),
}


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_a_session_is_answered_with_these_octets(name: str) -> None:
    assert bindings.play_frames(SESSIONS[name]).hex() == REPLIES[name]


def test_the_sessions_have_every_action_but_the_log() -> None:
    codes = set()
    for octets in REPLIES.values():
        replies = bytes.fromhex(octets)
        at = 0
        while at < len(replies):
            count, size, _ = unpack_from("<III", replies, at)
            end, at = at + 8 + size, at + 12
            for _ in range(count):
                code, length = unpack_from("<BI", replies, at)
                codes.add(code)
                at += 5 + length
            assert at == end
    assert codes >= {0, 1, 2, 3, 4, 10, 12, 13}
