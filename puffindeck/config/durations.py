"""Durations as they are written in operators' files."""

from __future__ import annotations

from puffindeck.config.checks import MAX_SPAN_MS
from puffindeck.config.errors import InvalidValueError

UNITS_MS = {"ms": 1.0, "s": 1000.0, "m": 60000.0, "h": 3600000.0, "d": 86400000.0}


def duration_ms(text: str, key: str) -> float:
    """Convert a duration such as `250ms`, `60s`, `5m`, `1h` or `1d` to milliseconds, at most MAX_SPAN_MS.

    Raises InvalidValueError, which names the key.
    """
    unit = text.lstrip("0123456789.")
    try:
        value = float(text[: len(text) - len(unit)])
    except ValueError:
        value = -1.0
    if unit not in UNITS_MS or value <= 0:
        raise InvalidValueError(key, f"must be a duration like 250ms, 60s, 5m or 1h, not {text!r}")
    return min(MAX_SPAN_MS, value * UNITS_MS[unit])
