"""The first line of a connection: read where it lies, written again with nothing but its `d` changed."""

from __future__ import annotations

import re
from datetime import timedelta

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.service_discovery.keys import number

CRLF = b"\r\n"
MAX_LINE = 4096 - len(CRLF)
FIGURE = re.compile(rb"[0-9]{1,13}(\.[0-9]{1,9})?")  # no sign, no exponent, none of Python's underscores
MOST = 1e12  # no figure is larger: one with no limit to its time says 4294967 ms


class RequestLineError(ValueError):
    """A line can't be read as a connection's first."""


class RequestLine:
    """The parts of an OPEN line, as places in it."""

    __slots__ = ("_line", "_wait", "at", "cls", "group", "hint", "id", "key", "left", "returning")

    def __init__(self, line: bytes) -> None:
        words = line.split(b" ")
        if len(words) != 4 or words[0] != b"OPEN" or not words[1] or not words[2]:
            raise RequestLineError("not OPEN, an id, a key and a list of values")
        if not line.isascii() or any(byte < 32 for byte in line):
            raise RequestLineError("a byte that is not plain text")
        self._line, self.id = line, words[1]
        self._wait: tuple[int, int] | None = None
        self.key, self.cls, self.at, self.group = number(words[2]), "", "", 0
        self.left: timedelta | None = None
        self.hint, self.returning = 0.0, False
        place = len(line) - len(words[3])
        for item in words[3].split(b","):
            name, equals, value = item.partition(b"=")
            if not equals:
                raise RequestLineError(f"a value without a name: {item[:40]!r}")
            if name == b"d":
                if self._wait is not None:
                    raise RequestLineError("d stands twice")
                self._wait = place + 2, place + len(item)
                self.left = milliseconds(self._figure(name, value))
            elif name == b"c":
                self.cls = value.decode()
            elif name == b"g":
                self.group = number(value) if value else 0
            elif name == b"h":
                self.hint = self._figure(name, value)
            elif name == b"again":
                self.returning = value == b"1"
            elif name == b"at":
                self.at = value.decode()
            place += len(item) + 1
        if not self.cls:
            raise RequestLineError("no class (c)")
        if self._wait is None:
            raise RequestLineError("no time (d)")

    @staticmethod
    def _figure(name: bytes, value: bytes) -> float:
        figure = float(value) if FIGURE.fullmatch(value) else MOST + 1
        if figure > MOST:
            raise RequestLineError(f"{name.decode()} is no figure: {value[:40]!r}")
        return figure

    def parts(self, wait: timedelta) -> list[bytes]:
        """The line for a host that is waited for this long, for one gathered write."""
        assert self._wait is not None
        start, end = self._wait
        return [self._line[:start], b"%d" % max(1, int(to_ms(wait))), self._line[end:], CRLF]
