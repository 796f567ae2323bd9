"""Discovery's protocol without any I/O: what to ask next, what an answer says, how long to wait for one.

A front brings the HTTP: it asks for `target()`, hands over what comes (`whole` for the whole list, `line` for
each line of a watch), and tells the engine what the members returned say. Both fronts that speak to discovery
(Twisted's in `net/discovery.py`, asyncio's in `rpc/roster.py`) read it here.
"""

from __future__ import annotations

import msgspec

from puffindeck.config import Members
from puffindeck.core.clock import span
from puffindeck.interface import ListKind

PATH = "/catalog/members"
ANSWER = span(2500)  # how long a call may go without an answer
SILENT = span(4500)  # an empty line comes each 2 s: a watch that goes without two is broken
MOST = 1 << 22  # octets of a line, or of the whole list
DECODER = msgspec.json.Decoder(Members)


class WatchError(ValueError):
    """What discovery said can't be used. What it meant is lost, so the watch must begin anew."""


class WatchState:
    """How far the list is known, and so what is asked next."""

    def __init__(self, version: int | None = None) -> None:
        self.version = version  # None: nothing is known, the whole list comes first

    @property
    def watching(self) -> bool:
        """Is the next call a watch, or one for the whole list?"""
        return self.version is not None

    def target(self) -> str:
        """The path and query of the next call."""
        return PATH if self.version is None else f"{PATH}?watch=1&after={self.version}"

    def line(self, line: bytes) -> Members | None:
        """A watch's line; None if it says only that the watch is alive. Raises WatchError."""
        line = line.strip()
        return self.whole(line) if line else None

    def whole(self, text: bytes) -> Members:
        """A list, whole or of what has changed. Raises WatchError, and then knows what it knew."""
        if len(text) > MOST:
            raise WatchError(f"a list over {MOST >> 20} MiB")
        try:
            members = DECODER.decode(text)
        except msgspec.MsgspecError as error:
            raise WatchError(f"a line that can't be read: {error}") from None
        self.version = members.rev
        return members


def kind(members: Members) -> ListKind:
    """What a piece of list news is to the decision module."""
    return ListKind.FULL if members.all else ListKind.CHANGES
