"""Sessions with the simulator, the README's example and the limits of the decision module."""

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
LONGEST_MODULE = 300  # lines of a module of the decision package


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
    serve(io.BytesIO(b"".join(batches)), sink)
    return sink.getvalue()


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run(batch(3)) == struct.pack("<III", 0, 4, 3)


def test_a_request_is_forwarded_for_its_instance() -> None:
    out = run(batch(1, *start(), REQUEST))
    count, size, number = struct.unpack_from("<III", out)
    assert (size + 8, number) == (len(out), 1)
    codes = {code: data for code, data in split_records(out[12:], count)}
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
    assert 0 not in [code for code, _ in split_records(second[12:], count)]


@pytest.mark.parametrize("cut", [1, 10, 30])
def test_a_truncated_frame_is_named(cut: int) -> None:
    whole = batch(1, *start(), REQUEST)
    with pytest.raises(FrameError, match="truncated frame"):
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


def test_a_decision_that_fails_is_told() -> None:
    bad = record(2, struct.pack("<IBHQddQB", 55, 77, 0, 9, 1200.0, 0.0, 0, 0))  # a class that is not there
    out = run(batch(1, *start(), bad))
    count = struct.unpack_from("<I", out)[0]
    assert 9 in [code for code, _ in split_records(out[12:], count)]


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
