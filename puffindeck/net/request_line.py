"""A connection's first line: parsed in place, and written to the host with only its `d` changed."""

from __future__ import annotations

import re
from datetime import timedelta

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.service_discovery.keys import key_number

CRLF = b"\r\n"
MAX_LINE = 4096 - len(CRLF)
NUMBER = re.compile(rb"[0-9]{1,13}(\.[0-9]{1,9})?")  # no sign, no exponent, none of Python's underscores
MAX_FIGURE = 1e12  # a client without a time limit sends 4294967 ms


class RequestLineError(ValueError):
    """A connection's first line can't be read. The text says why, and stands in the log."""


class RequestLine:
    """The values of an OPEN line, and where its time stands in it. Raises RequestLineError."""

    __slots__ = ("_line", "_time", "at", "cls", "group", "hint", "id", "key", "left", "returning")

    def __init__(self, line: bytes) -> None:
        words = line.split(b" ")
        if len(words) != 4 or words[0] != b"OPEN" or not words[1] or not words[2]:
            raise RequestLineError("not OPEN, an id, a key and a list of values")
        if not line.isascii() or any(byte < 32 for byte in line):
            raise RequestLineError("a byte that is not plain text")
        self._line = line
        self._time: tuple[int, int] | None = None  # where the digits of `d` begin and end in the line
        self.id = words[1]
        self.key = key_number(words[2])
        self.cls = ""
        self.at = ""  # the host of a connection from before the run
        self.group = 0
        self.left: timedelta | None = None
        self.hint = 0.0
        self.returning = False
        place = len(line) - len(words[3])
        for item in words[3].split(b","):
            self._read_value(item, place)
            place += len(item) + 1
        if not self.cls:
            raise RequestLineError("no class (c)")
        if self._time is None:
            raise RequestLineError("no time (d)")

    def _read_value(self, item: bytes, place: int) -> None:
        """Read one `name=value`, which begins at `place` in the line. Unknown names are passed on."""
        name, equals, value = item.partition(b"=")
        if not equals:
            raise RequestLineError(f"a value without a name: {item[:40]!r}")
        if name == b"d":
            if self._time is not None:
                raise RequestLineError("d stands twice")
            self._time = place + len(b"d="), place + len(item)
            self.left = milliseconds(self._figure(name, value))
        elif name == b"c":
            self.cls = value.decode()
        elif name == b"g":
            self.group = key_number(value) if value else 0
        elif name == b"h":
            self.hint = self._figure(name, value)
        elif name == b"again":
            self.returning = value == b"1"
        elif name == b"at":
            self.at = value.decode()

    @staticmethod
    def _figure(name: bytes, value: bytes) -> float:
        figure = float(value) if NUMBER.fullmatch(value) else MAX_FIGURE + 1
        if figure > MAX_FIGURE:
            raise RequestLineError(f"{name.decode()} is no figure: {value[:40]!r}")
        return figure

    def parts(self, wait: timedelta) -> list[bytes]:
        """Return the line for a host that has this long to answer, for one gathered write."""
        assert self._time is not None
        start, end = self._time
        return [self._line[:start], b"%d" % max(1, int(to_ms(wait))), self._line[end:], CRLF]
