"""Tests of the configuration file of a client-side plug-in."""

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
    path = folder / "client.toml"
    path.write_text(text)
    return load_client_config(path)


def test_valid_file_is_read(tmp_path: Path) -> None:
    (tmp_path / "client.toml").write_text(FILE)
    config = load_client_config(tmp_path / "client.toml")
    assert config.discovery == ("127.0.0.1", 8500)
    assert config.seed == 42
    assert config.rpc.methods == {"/exchange.Feed/Watch": 1}
    assert config.rpc.idle_timeout == timedelta(seconds=60)


def test_seed_is_random_if_file_has_none(tmp_path: Path) -> None:
    (tmp_path / "client.toml").write_text(FILE.replace('seed = "2a"', ""))
    assert (
        load_client_config(tmp_path / "client.toml").seed != load_client_config(tmp_path / "client.toml").seed
    )


@pytest.mark.parametrize(
    ("old", "new", "message"),
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
        ("[rpc]", "[rpc", "client.toml"),
    ],
)
def test_error_of_invalid_file_is_one_line_with_file_and_key(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        read(tmp_path, FILE.replace(old, new))
    assert message in str(caught.value)
    assert str(tmp_path / "client.toml") in str(caught.value)
    assert "\n" not in str(caught.value)


def test_error_of_missing_file_names_it(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"none\.toml: No such file"):
        load_client_config(tmp_path / "none.toml")
