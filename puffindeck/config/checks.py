"""Checks that the sections share; an error names the faulty key."""

from __future__ import annotations

from typing import Any


class ConfigError(ValueError):
    """The configuration can't be used; the text names the key."""


class ConfigUnreadable(ConfigError):
    """The file can't be read just now; its text may be of use."""


def need(table: Any, path: str, where: str = "settings") -> Any:
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            raise ConfigError(f"{where}: {path} is missing")
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
    """A figure of at least `low`, or above it; `default` stands for one left out at the end of the path."""
    *outer, last = path.split(".")
    inner = need(table, ".".join(outer), where) if outer else table
    if default is not None and isinstance(inner, dict) and inner.get(last) is None:
        return default
    value = need(table, path, where)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value < float("inf"):
        raise ConfigError(f"{where}: {path} must be a number of {low:g} or more")
    if above and value == low:
        raise ConfigError(f"{where}: {path} must be above {low:g}")
    return float(value)


def subtable(table: Any, key: str) -> dict[str, Any]:
    """A table that may be left out."""
    inner = (table.get(key) if isinstance(table, dict) else None) or {}
    if not isinstance(inner, dict):
        raise ConfigError(f"settings: {key} must be a table")
    return inner


def figure_list(table: dict[str, Any], key: str) -> list[float]:
    """A list of numbers that may be left out; one that is null has no limit."""
    figures = table.get(key) or []
    if not isinstance(figures, list) or not all(
        item is None or (isinstance(item, (int, float)) and 0 <= item < float("inf")) for item in figures
    ):
        raise ConfigError(f"settings: familyInfo.{key} must be a list of numbers of 0 or more")
    return [float("inf") if item is None else float(item) for item in figures]


def name_list(table: dict[str, Any], key: str) -> tuple[str, ...]:
    names = table.get(key) or []
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"settings: {key} must be a list of names")
    return tuple(names)


def address(text: str, key: str) -> tuple[str, int]:
    """HOST:PORT, with a port from 0 to 65535; an IPv6 host stands in brackets."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ConfigError(f"{key} must be HOST:PORT, not {text!r}")
    return host, int(port)


def hexadecimal(text: str, key: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError:
        raise ConfigError(f"{key} must be hexadecimal, not {text!r}") from None
