"""A connection's first line: parsed in place, and written to the host with only its `d` changed."""

from __future__ import annotations

import re
from datetime import timedelta

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.service_discovery.keys import key_number

CRLF = b"\r\n"
MAX_LINE = 4096 - len(CRLF)
# Signs, exponents and the underscores that Python's float() accepts are invalid.
NUMBER_PATTERN = re.compile(rb"[0-9]{1,13}(\.[0-9]{1,9})?")
MAX_NUMBER = 1e12  # far above 4294967 ms, which clients without a time limit send
MAY_HAVE_RUN = "a request with this id may have run, and must not run again"  # why a line is rejected


class RequestLineError(ValueError):
    """A connection's first line is invalid. The text says why, and is written to the log."""


class RequestLine:
    """The values of an OPEN line, and the position of its time limit `d`. Raises RequestLineError."""

    __slots__ = (
        "_line",
        "_time_span",
        "cls",
        "group",
        "hint",
        "id",
        "key",
        "restore_host",
        "returning",
        "time_left",
    )

    def __init__(self, line: bytes) -> None:
        fields = line.split(b" ")
        if len(fields) != 4 or fields[0] != b"OPEN" or not fields[1] or not fields[2]:
            raise RequestLineError("expected OPEN, an id, a key and a list of values")
        if not line.isascii() or any(byte < 32 for byte in line):
            raise RequestLineError("a control character or a byte that is not ASCII")
        self._line = line
        self._time_span: tuple[int, int] | None = None  # start and end of the digits of `d` in the line
        self.id = fields[1]
        self.key = key_number(fields[2])
        self.cls = ""
        self.restore_host = ""  # host of a connection to restore, which was open before the node started
        self.group = 0
        self.time_left: timedelta | None = None
        self.hint = 0.0
        self.returning = False
        offset = len(line) - len(fields[3])
        for item in fields[3].split(b","):
            self._parse_field(item, offset)
            offset += len(item) + 1
        if not self.cls:
            raise RequestLineError("the class (c) is missing")
        if self._time_span is None:
            raise RequestLineError("the time limit (d) is missing")

    def _parse_field(self, item: bytes, offset: int) -> None:
        """Parse one `name=value`, which starts at `offset` in the line. Unknown names are ignored here."""
        name, equals, value = item.partition(b"=")
        if not equals:
            raise RequestLineError(f"a value without a name: {item[:40]!r}")
        if name == b"d":
            if self._time_span is not None:
                raise RequestLineError("d is given twice")
            self._time_span = offset + len(b"d="), offset + len(item)
            self.time_left = milliseconds(self._parse_number(name, value))
        elif name == b"c":
            self.cls = value.decode()
        elif name == b"g":
            self.group = key_number(value) if value else 0
        elif name == b"h":
            self.hint = self._parse_number(name, value)
        elif name == b"again":
            self.returning = value == b"1"
        elif name == b"at":
            self.restore_host = value.decode()

    @staticmethod
    def _parse_number(name: bytes, value: bytes) -> float:
        parsed = float(value) if NUMBER_PATTERN.fullmatch(value) else MAX_NUMBER + 1
        if parsed > MAX_NUMBER:
            raise RequestLineError(f"{name.decode()} is not a valid number: {value[:40]!r}")
        return parsed

    def parts(self, time_left: timedelta) -> list[bytes]:
        """Return the line with `d` set to the time left, at least 1 ms, as parts for one gathered write."""
        assert self._time_span is not None
        start, end = self._time_span
        return [self._line[:start], b"%d" % max(1, int(to_ms(time_left))), self._line[end:], CRLF]
