"""The file of a client-side plug-in."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest

from puffindeck.config import ConfigError
from puffindeck.config.client_config import load_client_config

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


def read(folder: Path, text: str) -> object:
    path = folder / "desk.toml"
    path.write_text(text)
    return load_client_config(path)


def test_a_file_is_read_and_checked(tmp_path: Path) -> None:
    (tmp_path / "desk.toml").write_text(FILE)
    config = load_client_config(tmp_path / "desk.toml")
    assert config.discovery == ("127.0.0.1", 8500)
    assert config.seed == 42
    assert config.rpc.methods == {"/exchange.Feed/Watch": 1}
    assert config.rpc.idle_timeout == timedelta(seconds=60)


def test_clients_without_a_seed_draw_their_own(tmp_path: Path) -> None:
    (tmp_path / "desk.toml").write_text(FILE.replace('seed = "2a"', ""))
    assert load_client_config(tmp_path / "desk.toml").seed != load_client_config(tmp_path / "desk.toml").seed


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
        load_client_config(tmp_path / "none.toml")
