"""Checks and parsers of single values, shared by all tables. Each error names the key at fault."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from puffindeck.config.errors import ConfigError, InvalidValueError, MissingKeyError

MAX_PORT = 65535
MAX_DURATION_S = 1e6
Table = TypeVar("Table")


def require(table: Any, path: str, where: str = "settings") -> Any:
    """The value at a dotted path. Raises MissingKeyError, which names `where` and the path."""
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            raise MissingKeyError(where, path)
        table = table[key]
    return table


def number(
    table: Any,
    path: str,
    low: float = 0.0,
    default: float | None = None,
    where: str = "settings",
    above: bool = False,
) -> float:
    """A finite number of at least `low`, or more than `low` where `above` is set.

    `default` stands for a number that is left out at the end of the path. Raises MissingKeyError, or
    InvalidValueError for another value.
    """
    *outer, last = path.split(".")
    inner = require(table, ".".join(outer), where) if outer else table
    if default is not None and isinstance(inner, dict) and inner.get(last) is None:
        return default
    value = require(table, path, where)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < float("inf"):
        raise InvalidValueError(f"{where}: {path}", f"must be a number of {low:g} or more")
    if above and value == low:
        raise InvalidValueError(f"{where}: {path}", f"must be above {low:g}")
    return float(value)


def optional_table(table: Any, key: str) -> dict[str, Any]:
    """The table at a key, empty if it is left out. Raises InvalidValueError for a value of another type."""
    inner = (table.get(key) if isinstance(table, dict) else None) or {}
    if not isinstance(inner, dict):
        raise InvalidValueError(f"settings: {key}", "must be a table")
    return inner


def number_list(table: dict[str, Any], key: str) -> list[float]:
    """The numbers at a key of `familyInfo`, none if it is left out; null stands for infinity.

    Raises InvalidValueError for a value of another type or below 0.
    """
    numbers = table.get(key) or []
    if not isinstance(numbers, list) or not all(
        item is None or (isinstance(item, (int, float)) and 0 <= item < float("inf")) for item in numbers
    ):
        raise InvalidValueError(f"settings: familyInfo.{key}", "must be a list of numbers of 0 or more")
    return [float("inf") if item is None else float(item) for item in numbers]


def name_list(table: dict[str, Any], key: str) -> tuple[str, ...]:
    """The names at a key, none if it is left out. Raises InvalidValueError for a value of another type."""
    names = table.get(key) or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise InvalidValueError(f"settings: {key}", "must be a list of names")
    return tuple(names)


def parse_address(text: str, key: str) -> tuple[str, int]:
    """Host and port of HOST:PORT, with a port from 0 to 65535; an IPv6 host stands in brackets.

    Raises InvalidValueError, which names the key.
    """
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise InvalidValueError(key, f"must be HOST:PORT, not {text!r}")
    return host, int(port)


def parse_hexadecimal(text: str, key: str) -> bytes:
    """Octets written as hexadecimal digits. Raises InvalidValueError, which names the key."""
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise InvalidValueError(key, f"must be hexadecimal, not {text!r}") from None


def parse_seed(text: str) -> int:
    """The seed of a file, a hexadecimal number. Raises InvalidValueError."""
    try:
        return int(text, 16)
    except ValueError:
        raise InvalidValueError("seed", f"must be a hexadecimal number, not {text!r}") from None


def check_seconds(value: float, key: str) -> None:
    """Check a duration in seconds. Raises InvalidValueError unless 0 < value < `MAX_DURATION_S`."""
    if not 0 < value < MAX_DURATION_S:
        raise InvalidValueError(key, "must be a number over 0")


def check_at_least(value: int, least: int, key: str) -> None:
    """Check a whole number. Raises InvalidValueError if it is under `least`."""
    if value < least:
        raise InvalidValueError(key, f"must be {least} or more")


def convert_table(decoded: Any, kind: type[Table], key: str) -> Table:
    """A decoded table as the struct that describes it. Raises ConfigError, which names the table's key."""
    try:
        return msgspec.convert(decoded, kind)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{key}: {error}") from None
