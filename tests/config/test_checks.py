"""Checks of single values: errors name the key and the requirement."""

from __future__ import annotations

import pytest

from puffindeck.config import InvalidValueError, MissingKeyError, parse_address
from puffindeck.config.checks import MAX_SPAN_MS, number, parse_seed, require, span_ms
from puffindeck.config.durations import duration_ms


def test_missing_key_is_named_with_its_table() -> None:
    with pytest.raises(MissingKeyError) as raised:
        require({"rules": {}}, "rules.coldFrom")
    assert (raised.value.location, raised.value.key) == ("settings", "rules.coldFrom")
    assert str(raised.value) == "settings: rules.coldFrom is missing"


@pytest.mark.parametrize("value", [True, "1", -1, float("inf"), float("nan"), None, 10**400])
def test_error_for_invalid_number_has_key_and_requirement(value: object) -> None:
    with pytest.raises(InvalidValueError) as raised:
        number({"a": value}, "a")
    assert (raised.value.key, raised.value.requirement) == ("settings: a", "must be a number of 0 or more")


@pytest.mark.parametrize(
    ("text", "address"),
    [("127.0.0.1:0", ("127.0.0.1", 0)), ("[::1]:65535", ("::1", 65535)), ("box:7", ("box", 7))],
)
def test_address_is_split_into_host_and_port(text: str, address: tuple[str, int]) -> None:
    assert parse_address(text, "listen") == address


@pytest.mark.parametrize("text", ["", "box", "box:", ":7", "box:65536", "box:-1", "box:\u0664"])
def test_error_for_invalid_address_names_the_key(text: str) -> None:
    with pytest.raises(InvalidValueError, match=r"^listen must be HOST:PORT, not "):
        parse_address(text, "listen")


def test_seed_is_parsed_as_hexadecimal() -> None:
    assert parse_seed("ff") == 255
    with pytest.raises(InvalidValueError, match=r"^seed must be a hexadecimal number, not 'x'"):
        parse_seed("x")


# Guards against a reload that fails half way, because a span is too long to be converted.
@pytest.mark.parametrize("value", [1e300, 10**18])
def test_span_is_at_most_the_longest_one(value: float) -> None:
    assert span_ms({"a": value}, "a") == MAX_SPAN_MS
    assert duration_ms("9" * 400 + "d", "a") == MAX_SPAN_MS
