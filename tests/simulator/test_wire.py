"""The simulator's wire, the bench link, the README's example and the limits of the decision module."""

from __future__ import annotations

import io
import json
import re
import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from puffindeck import benchlink, config, wire
from puffindeck.interface import (
    AttemptEnded,
    EndpointListUpdated,
    EndpointStatus,
    LatencyReported,
    LoadReported,
    Outcome,
    RequestArrived,
)

ROOT = Path(__file__).parents[2]
LONGEST_MODULE = 300  # lines of a module of the decision package
TABLE = {
    "classes": [{"aimMs": 300, "hardLimitMs": 1200, "repeat": "pure"}],
    "peersTotal": 2,
    "limits": {"maxAttempts": 3},
    "rules": {
        "drainGraceMs": 500,
        "answerSlackMs": 8,
        "coldFrom": 0.2,
        "warmAfterMs": 9000,
        "overloadFactor": 3,
        "fallMs": 2000,
    },
    "somethingNew": {"is": "ignored"},
}


def record(code: int, data: bytes) -> bytes:
    return struct.pack("<BI", code, len(data)) + data


def batch(number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIdI", len(body) + 16, len(records), 1000.0 + number, number) + body


def start(table: object = TABLE) -> list[bytes]:
    text = json.dumps(table).encode()
    endpoints = [struct.pack("<IHBHBfd", i, 0, 0, 0, 1, 1.0, 0.0) for i in (1, 2)]
    return [
        record(12, struct.pack("<H", 4)),
        record(0, struct.pack("<QI", 7, len(text)) + text),
        record(1, struct.pack("<BII", 2, 1, 2) + b"".join(endpoints)),
    ]


REQUEST = record(2, struct.pack("<IBHQddQB", 55, 0, 0, 9, 1200.0, 0.0, 0, 0))


def run(*batches: bytes) -> bytes:
    sink = io.BytesIO()
    benchlink.run(io.BytesIO(b"".join(batches)), sink)
    return sink.getvalue()


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run(batch(3)) == struct.pack("<III", 0, 4, 3)


def test_a_request_is_forwarded_for_its_instance() -> None:
    out = run(batch(1, *start(), REQUEST))
    count, size, number = struct.unpack_from("<III", out)
    assert (size + 8, number) == (len(out), 1)
    codes = {code: data for code, data in wire.records(out[12:], count)}
    assert codes[13] == struct.pack("<H", 4)
    request, endpoint, timeout = struct.unpack("<IId", codes[0])
    assert request == 55
    assert endpoint in (1, 2)
    assert 0 < timeout <= 1200


def test_an_instance_stopped_and_started_in_one_batch_has_forgotten_all() -> None:
    stop = record(9, b"")
    again = batch(2, record(12, struct.pack("<H", 4)), REQUEST, stop, *start())
    out = run(batch(1, *start(), REQUEST), again)
    second = out[8 + struct.unpack_from("<I", out, 4)[0] :]
    count = struct.unpack_from("<I", second)[0]
    assert 0 not in [code for code, _ in wire.records(second[12:], count)]


def test_unknown_codes_and_trailing_fields_are_skipped() -> None:
    assert wire.event(99, b"abc") is None
    data = struct.pack("<IBIBBd", 5, 6, 9, 1, 1, 2.5)
    assert wire.event(4, data + b"\x01later fields") == AttemptEnded(5, Outcome.RESET, 9, 1, True, 2.5)


def test_fields_left_off_read_as_zero() -> None:
    event = wire.event(2, struct.pack("<IB", 5, 0))
    assert event == RequestArrived(5, 0, 0, 0, 0.0, 0.0, 0)


def test_notes_and_lists() -> None:
    assert wire.event(11, struct.pack("<IBIBf", 5, 0, 9, 1, 2.0)) == LoadReported(5, 9, 2.0)
    assert wire.event(11, struct.pack("<IBIBf", 5, 0, 9, 2, 8.0)) == LatencyReported(5, 9, 8.0)
    listed = wire.event(1, struct.pack("<BII", 4, 3, 1) + struct.pack("<IHBHBfd", 7, 1, 2, 3, 2, 1.5, 9.0))
    assert isinstance(listed, EndpointListUpdated)
    assert listed.entries[0].state == EndpointStatus.DRAINING
    assert listed.entries[0].cell == 3


@pytest.mark.parametrize("cut", [1, 10, 30])
def test_a_truncated_frame_is_named(cut: int) -> None:
    whole = batch(1, *start(), REQUEST)
    with pytest.raises(wire.WireError, match="truncated frame"):
        run(whole[:-cut])


def test_what_cant_be_read_ends_with_one_plain_line() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "puffindeck.benchlink"],
        input=batch(1, *start())[:-3],
        capture_output=True,
        cwd=ROOT,
    )
    assert done.returncode != 0
    assert done.stdout == b""
    assert re.fullmatch(rb"puffindeck: truncated frame: .*\n", done.stderr)


def test_an_outcome_not_known_may_have_run() -> None:
    event = wire.event(4, struct.pack("<IBIBBd", 5, 66, 9, 1, 0, 2.5))
    assert isinstance(event, AttemptEnded)
    assert event.outcome == Outcome.ERROR


@pytest.mark.parametrize("key", ["classes", "peersTotal", "limits", "rules"])
def test_a_missing_setting_is_named(key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.decode_settings(json.dumps({k: v for k, v in TABLE.items() if k != key}).encode())


def test_a_wrong_setting_is_named() -> None:
    with pytest.raises(config.ConfigError, match="peersTotal"):
        config.decode_settings(json.dumps({**TABLE, "peersTotal": "two"}).encode())


def test_a_decision_that_fails_is_told() -> None:
    bad = record(2, struct.pack("<IBHQddQB", 55, 77, 0, 9, 1200.0, 0.0, 0, 0))  # a class that is not there
    out = run(batch(1, *start(), bad))
    count = struct.unpack_from("<I", out)[0]
    assert 9 in [code for code, _ in wire.records(out[12:], count)]


def test_the_example_in_the_readme_runs(capsys: pytest.CaptureFixture[str]) -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert re.search(r"request 1 went to server 1[123]", capsys.readouterr().out)


def test_the_decision_module_stays_readable() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert {ROOT / name for name in deploy["policy"]} == set((ROOT / "puffindeck/policy").glob("*.py"))
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text().splitlines()
        assert len(lines) <= LONGEST_MODULE, name
        assert max(map(len, lines)) <= 110, name


@pytest.mark.parametrize("key", ["classes", "familyInfo", "limits", "prices", "zones"])
@pytest.mark.parametrize("odd", [5, "x", [5], True])
def test_settings_of_the_wrong_kind_name_the_key(key: str, odd: object) -> None:
    """A reload that reads such a file must leave the old settings in force, not fail otherwise."""
    with pytest.raises(config.ConfigError, match=key):
        config.decode_settings(json.dumps({**TABLE, key: odd}).encode())
