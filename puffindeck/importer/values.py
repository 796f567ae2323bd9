"""Parses values of statements: times, whole numbers and addresses, as HAProxy's manual defines them."""

from __future__ import annotations

import re
from ipaddress import ip_address

from puffindeck.importer.statement import Statement

UNITS_MS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "m": 60000.0, "h": 3_600_000.0, "d": 86_400_000.0, "": 1.0}
MAX_PORT = 65535
ANY_ADDRESS = "0.0.0.0"


def parse_time_ms(statement: Statement, text: str) -> float:
    """Return the milliseconds of a time: a whole number with a unit, by default in milliseconds.

    Raises HaproxyImportError for any other text.
    """
    match = re.fullmatch(r"(\d+)(us|ms|s|m|h|d|)", text)
    if not match:
        raise statement.error(f"{text!r} is not a time")
    return int(match[1]) * UNITS_MS[match[2]]


def parse_integer(statement: Statement, text: str, low: int, high: int) -> int:
    """Parse a whole number from `low` to `high`. Raises HaproxyImportError for any other text."""
    if not text.isdecimal() or not low <= int(text) <= high:
        raise statement.error(f"{text!r} is not a whole number from {low} to {high}")
    return int(text)


def parse_endpoint(statement: Statement, text: str) -> str | None:
    """Return ADDRESS:PORT in the form of an operator's file.

    The result is None for a host name or a path, which an operator's file does not support.
    Raises HaproxyImportError for a port that is not from 1 to 65535.
    """
    host, _, port = re.sub(r"^(ipv4|ipv6|inet)@", "", text).rpartition(":")
    host = host.removeprefix("[").removesuffix("]") or ANY_ADDRESS
    host = ANY_ADDRESS if host == "*" else host
    try:
        is_ipv6 = ip_address(host).version == 6
    except ValueError:
        return None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise statement.error(f"{text!r} has no port from 1 to {MAX_PORT}")
    return f"[{host}]:{port}" if is_ipv6 else f"{host}:{port}"
