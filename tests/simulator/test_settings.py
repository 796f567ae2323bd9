"""Tests of invalid settings in the record that starts an instance."""

from __future__ import annotations

import json

import pytest

from puffindeck import config
from tests.simulator.settings_table import TABLE


@pytest.mark.parametrize("key", ["classes", "peersTotal", "limits", "rules"])
def test_error_names_a_missing_setting(key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.decode_settings(json.dumps({k: v for k, v in TABLE.items() if k != key}).encode())


def test_error_names_an_invalid_setting() -> None:
    with pytest.raises(config.ConfigError, match="peersTotal"):
        config.decode_settings(json.dumps({**TABLE, "peersTotal": "two"}).encode())


@pytest.mark.parametrize("key", ["classes", "familyInfo", "limits", "prices", "zones"])
@pytest.mark.parametrize("invalid_value", [5, "x", [5], True])
def test_error_names_a_setting_of_the_wrong_type(key: str, invalid_value: object) -> None:
    """A reload of such a file must raise no other error, so that the previous settings stay in force."""
    with pytest.raises(config.ConfigError, match=key):
        config.decode_settings(json.dumps({**TABLE, key: invalid_value}).encode())
