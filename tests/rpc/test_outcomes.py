"""The table of statuses, and the client's file."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import grpc
import pytest

from puffindeck.config import ConfigError
from puffindeck.config.client import client
from puffindeck.core.clock import ZERO
from puffindeck.interface import NOT_PROCESSED, Outcome
from puffindeck.rpc.status import FinalStatus, failed, is_migrated, rejected, retry_after
from puffindeck.rpc.status_outcomes import outcome_of_status

FILE = """
discovery = "127.0.0.1:8500"
seed = "2a"
[rpc]
class = "status"
[rpc.methods]
"/exchange.Feed/Watch" = "watch"
[settings]
peersTotal = 200
classes = [
  {name = "status", aimMs = 300, hardLimitMs = 1800, repeat = "pure"},
  {name = "watch", aimMs = 500, hardLimitMs = 3000, repeat = "pure"},
]
limits = {maxAttempts = 3}
[settings.rules]
drainGraceMs = 500
answerSlackMs = 20
coldFrom = 0.3
warmAfterMs = 9000
overloadFactor = 3
fallMs = 1000
"""


@pytest.mark.parametrize(
    ("code", "details", "heard", "is_moved", "wanted"),
    [
        (0, "", True, False, Outcome.OK),
        (3, "bad request", False, False, Outcome.OK),
        (16, "who are you", False, False, Outcome.OK),
        (14, "no", False, False, Outcome.ERROR),
        (14, "Socket closed", True, False, Outcome.RESET),
        (14, "", True, True, Outcome.CANCELLED),
        (14, "", False, True, Outcome.CANCELLED),
        (8, "full", False, False, Outcome.FULL),
        (8, "quota", True, False, Outcome.RESET),
        (8, "CLIENT: Received message larger than max (9 vs. 4)", False, False, Outcome.OK),
        (4, "Deadline Exceeded", False, False, Outcome.TIMEOUT),
        (1, "the server gave up", False, False, Outcome.RESET),
        (13, "Received RST_STREAM with error code 2", False, False, Outcome.RESET),
        (13, "a fault of the application", False, False, Outcome.OK),
        (2, "Stream removed", True, False, Outcome.RESET),
        (2, "an exception", False, False, Outcome.OK),
    ],
)
def test_a_status_is_an_outcome(
    code: int, details: str, heard: bool, is_moved: bool, wanted: Outcome
) -> None:
    assert outcome_of_status(code, details, heard, is_moved) == wanted


def test_only_what_never_ran_is_held_to_be_so() -> None:
    told = {outcome_of_status(code, "", heard) for code in range(17) for heard in (False, True)}
    assert told & NOT_PROCESSED == {Outcome.FULL}


def test_a_refusal_tells_when_to_come_back_in_both_ways() -> None:
    error = rejected(timedelta(milliseconds=730), 2).error()
    assert retry_after(error) == timedelta(milliseconds=730)
    rich = FinalStatus(
        error.code(), "", tuple((k, v) for k, v in error.trailing_metadata() if k.endswith("-bin"))
    ).error()
    assert retry_after(rich) == timedelta(milliseconds=730)
    assert retry_after(rejected(ZERO, 0).error()) is None
    assert (
        retry_after(FinalStatus(error.code(), "", (("grpc-retry-pushback-ms", "-1"),)).error())
        == timedelta.max
    )
    assert (
        retry_after(FinalStatus(error.code(), "", (("grpc-status-details-bin", b"\xff\xff"),)).error())
        is None
    )


def test_a_failure_is_what_the_last_server_said() -> None:
    last = FinalStatus(grpc.StatusCode.UNAVAILABLE, "box 3 says so", (("a", "b"),))
    error = failed(3, False, last).error()
    assert error.details() == "box 3 says so"
    assert tuple(error.trailing_metadata()) == (("a", "b"), ("puffindeck-attempts", "3"))
    assert failed(1, True, last).code.name == "DEADLINE_EXCEEDED"
    assert not is_migrated(error)


def read(folder: Path, text: str) -> object:
    path = folder / "desk.toml"
    path.write_text(text)
    return client(path)


def test_a_file_is_read_and_checked(tmp_path: Path) -> None:
    (tmp_path / "desk.toml").write_text(FILE)
    told = client(tmp_path / "desk.toml")
    assert told.discovery == ("127.0.0.1", 8500)
    assert told.seed == 42
    assert told.rpc.methods == {"/exchange.Feed/Watch": 1}
    assert told.rpc.idle == timedelta(seconds=60)


def test_clients_without_a_seed_draw_their_own(tmp_path: Path) -> None:
    (tmp_path / "desk.toml").write_text(FILE.replace('seed = "2a"', ""))
    assert client(tmp_path / "desk.toml").seed != client(tmp_path / "desk.toml").seed


@pytest.mark.parametrize(
    ("was", "now", "named"),
    [
        ('class = "status"', 'class = "stats"', "rpc.class must be one of status, watch, not 'stats'"),
        ('Feed/Watch" = "watch"', 'Feed/Watch" = "x"', "rpc.methods.'/exchange.Feed/Watch'"),
        (
            '"/exchange.Feed/Watch" = "watch"',
            '"Watch" = "watch"',
            "rpc.methods.'Watch' must be /package.Service",
        ),
        ('class = "status"', "subchannels = 0", "rpc.subchannels must be 1 or more"),
        ('class = "status"', "idle_s = 0", "rpc.idle_s must be a number over 0"),
        ('class = "status"', 'key_metadata = "Key"', "rpc.key_metadata must be a lower-case"),
        ('class = "status"', "retries = 5", "unknown field `retries`"),
        ('class = "status"', 'tls = {cert = "a.pem"}', "rpc.tls: cert and key go together"),
        ('class = "status"', 'tls = {ca = "none.pem"}', "rpc.tls.ca: none.pem: No such file"),
        ('seed = "2a"', 'seed = "xyz"', "seed must be a hexadecimal number"),
        ('discovery = "127.0.0.1:8500"', "", "discovery is missing"),
        ('discovery = "127.0.0.1:8500"', 'discovery = "here"', "discovery must be HOST:PORT"),
        ("peersTotal = 200", "", "settings: peersTotal is missing"),
        ("[rpc]", "[rpc", "desk.toml"),
    ],
)
def test_a_bad_file_is_one_line_that_names_the_file_and_the_key(
    tmp_path: Path, was: str, now: str, named: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        read(tmp_path, FILE.replace(was, now))
    assert named in str(caught.value)
    assert str(tmp_path / "desk.toml") in str(caught.value)
    assert "\n" not in str(caught.value)


def test_a_file_that_is_not_there_is_named(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"none\.toml: No such file"):
        client(tmp_path / "none.toml")
