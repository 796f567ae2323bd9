"""Tests of sessions with the simulator, of the README's example and of the size of the decision module."""

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

from puffindeck.simulator import FrameError, serve
from puffindeck.simulator.frames import split_records
from tests.simulator.settings_table import TABLE

ROOT = Path(__file__).parents[2]
MAX_MODULE_LINES = 300  # limit for each module of the decision package


def record(code: int, data: bytes) -> bytes:
    return struct.pack("<BI", code, len(data)) + data


def batch(number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIdI", len(body) + 16, len(records), 1000.0 + number, number) + body


def start_records(table: object = TABLE) -> list[bytes]:
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
    serve(io.BytesIO(b"".join(batches)), sink)
    return sink.getvalue()


def test_empty_batch_gets_empty_reply() -> None:
    assert run(batch(3)) == struct.pack("<III", 0, 4, 3)


def test_request_is_forwarded_by_its_instance() -> None:
    output = run(batch(1, *start_records(), REQUEST))
    count, size, number = struct.unpack_from("<III", output)
    assert (size + 8, number) == (len(output), 1)
    data_by_code = {code: data for code, data in split_records(output[12:], count)}
    assert data_by_code[13] == struct.pack("<H", 4)
    request, endpoint, timeout = struct.unpack("<IId", data_by_code[0])
    assert request == 55
    assert endpoint in (1, 2)
    assert 0 < timeout <= 1200


def test_instance_restarted_within_a_batch_has_no_earlier_state() -> None:
    stop = record(9, b"")
    restart = batch(2, record(12, struct.pack("<H", 4)), REQUEST, stop, *start_records())
    output = run(batch(1, *start_records(), REQUEST), restart)
    second = output[8 + struct.unpack_from("<I", output, 4)[0] :]
    count = struct.unpack_from("<I", second)[0]
    assert 0 not in [code for code, _ in split_records(second[12:], count)]


@pytest.mark.parametrize("cut", [1, 10, 30])
def test_truncated_frame_raises_frame_error(cut: int) -> None:
    frame = batch(1, *start_records(), REQUEST)
    with pytest.raises(FrameError, match="truncated frame"):
        run(frame[:-cut])


def test_malformed_input_ends_the_program_with_one_error_line() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "puffindeck.benchlink"],
        input=batch(1, *start_records())[:-3],
        capture_output=True,
        cwd=ROOT,
    )
    assert completed.returncode != 0
    assert completed.stdout == b""
    assert re.fullmatch(rb"puffindeck: truncated frame: .*\n", completed.stderr)


def test_failed_decision_is_reported_to_the_simulator() -> None:
    unknown_class = record(2, struct.pack("<IBHQddQB", 55, 77, 0, 9, 1200.0, 0.0, 0, 0))
    output = run(batch(1, *start_records(), unknown_class))
    count = struct.unpack_from("<I", output)[0]
    assert 9 in [code for code, _ in split_records(output[12:], count)]


def test_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert re.search(r"request 1 went to server 1[123]", capsys.readouterr().out)


def test_decision_modules_are_listed_and_limited_in_size() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert {ROOT / name for name in deploy["policy"]} == set((ROOT / "puffindeck/policy").glob("*.py"))
    for name in deploy["policy"]:
        lines = (ROOT / name).read_text().splitlines()
        assert len(lines) <= MAX_MODULE_LINES, name
        assert max(map(len, lines)) <= 110, name
