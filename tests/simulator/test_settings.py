"""The settings in the first record of an instance, where they can't be used."""

from __future__ import annotations

import json

import pytest

from puffindeck import config
from tests.simulator.settings_table import TABLE


@pytest.mark.parametrize("key", ["classes", "peersTotal", "limits", "rules"])
def test_a_missing_setting_is_named(key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.decode_settings(json.dumps({k: v for k, v in TABLE.items() if k != key}).encode())


def test_a_wrong_setting_is_named() -> None:
    with pytest.raises(config.ConfigError, match="peersTotal"):
        config.decode_settings(json.dumps({**TABLE, "peersTotal": "two"}).encode())


@pytest.mark.parametrize("key", ["classes", "familyInfo", "limits", "prices", "zones"])
@pytest.mark.parametrize("odd", [5, "x", [5], True])
def test_settings_of_the_wrong_kind_name_the_key(key: str, odd: object) -> None:
    """A reload that reads such a file must leave the old settings in force, not fail otherwise."""
    with pytest.raises(config.ConfigError, match=key):
        config.decode_settings(json.dumps({**TABLE, key: odd}).encode())
