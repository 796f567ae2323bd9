"""Checks and parsers of single values, shared by all tables. Each error names the invalid key."""

from __future__ import annotations

import sys
from typing import Any, TypeVar

import msgspec

from puffindeck.config.errors import ConfigError, InvalidValueError, MissingKeyError

MAX_PORT = 65535
MAX_DURATION_S = 1e6
MAX_NUMBER = sys.float_info.max
MAX_SPAN_MS = 1e12  # some 30 years; a longer span has the same effect
Table = TypeVar("Table")


def require(table: Any, path: str, where: str = "settings") -> Any:
    """Return the value at a dotted path. Raises MissingKeyError, which names `where` and the path."""
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            raise MissingKeyError(where, path)
        table = table[key]
    return table


def number(
    table: Any,
    path: str,
    minimum: float = 0.0,
    default: float | None = None,
    where: str = "settings",
    exclusive: bool = False,
) -> float:
    """Return a finite number of at least `minimum`, or greater than `minimum` if `exclusive` is set.

    `default` is returned if the last key of the path is missing or null. Raises MissingKeyError, and
    InvalidValueError for any other value.
    """
    *outer, last = path.split(".")
    inner = require(table, ".".join(outer), where) if outer else table
    if default is not None and isinstance(inner, dict) and inner.get(last) is None:
        return default
    value = require(table, path, where)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not minimum <= value <= MAX_NUMBER:
        raise InvalidValueError(f"{where}: {path}", f"must be a number of {minimum:g} or more")
    if exclusive and value == minimum:
        raise InvalidValueError(f"{where}: {path}", f"must be above {minimum:g}")
    return float(value)


def span_ms(
    table: Any, path: str, default: float | None = None, where: str = "settings", exclusive: bool = False
) -> float:
    """Return a span of time in milliseconds, at most MAX_SPAN_MS. Raises as `number` does."""
    return min(MAX_SPAN_MS, number(table, path, default=default, where=where, exclusive=exclusive))


def optional_table(table: Any, key: str) -> dict[str, Any]:
    """Return the table at a key, empty if it is missing. Raises InvalidValueError for another type."""
    inner = (table.get(key) if isinstance(table, dict) else None) or {}
    if not isinstance(inner, dict):
        raise InvalidValueError(f"settings: {key}", "must be a table")
    return inner


def number_list(table: dict[str, Any], key: str) -> list[float]:
    """Return the numbers at a key of `familyInfo`, empty if it is missing; null means infinity.

    Raises InvalidValueError for another type or a number below 0.
    """
    numbers = table.get(key) or []
    if not isinstance(numbers, list) or not all(
        item is None or (isinstance(item, (int, float)) and 0 <= item <= MAX_NUMBER) for item in numbers
    ):
        raise InvalidValueError(f"settings: familyInfo.{key}", "must be a list of numbers of 0 or more")
    return [float("inf") if item is None else float(item) for item in numbers]


def name_list(table: dict[str, Any], key: str) -> tuple[str, ...]:
    """Return the names at a key, empty if it is missing. Raises InvalidValueError for another type."""
    names = table.get(key) or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidValueError(f"settings: {key}", "must be a list of names")
    return tuple(names)


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Return host and port of HOST:PORT, with a port from 0 to 65535.

    Brackets around an IPv6 address are removed.

    Raises InvalidValueError, which names the key.
    """
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise InvalidValueError(key, f"must be HOST:PORT, not {text!r}")
    return host, int(port)


def parse_hexadecimal(text: str, key: str) -> bytes:
    """Return octets from hexadecimal digits. Raises InvalidValueError, which names the key."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise InvalidValueError(key, f"must be hexadecimal, not {text!r}") from None


def parse_seed(text: str) -> int:
    """Return a seed that is written as a hexadecimal number. Raises InvalidValueError."""
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidValueError("seed", f"must be a hexadecimal number, not {text!r}") from None


def check_seconds(value: float, key: str) -> None:
    """Check a duration in seconds. Raises InvalidValueError unless 0 < value < `MAX_DURATION_S`."""
    if not 0 < value < MAX_DURATION_S:
        raise InvalidValueError(key, "must be a number over 0")


def check_at_least(value: int, minimum: int, key: str) -> None:
    """Check a whole number. Raises InvalidValueError if it is less than `minimum`."""
    if value < minimum:
        raise InvalidValueError(key, f"must be {minimum} or more")


def convert_table(decoded: Any, kind: type[Table], key: str) -> Table:
    """Convert a decoded table to the struct `kind`. Raises ConfigError, which names the table's key."""
    try:
        return msgspec.convert(decoded, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{key}: {error}") from None
