"""Discovery's protocol without any I/O: what to ask next, what an answer says, how long to wait for one.

A front brings the HTTP: it asks for `target()`, hands over what comes (`whole` for the whole list, `line` for
each line of a watch), and tells the engine what the members returned say. Both fronts that speak to discovery
(Twisted's in `net/discovery.py`, asyncio's in `rpc/roster.py`) read it here.
"""

from __future__ import annotations

import msgspec

from puffindeck.config import Members
from puffindeck.core.clock import milliseconds
from puffindeck.interface import ListUpdateKind

PATH = "/catalog/members"
# What changes counts as told 6 s after discovery had it and could be reached, whatever failed before. So a
# call that was lost while it was down, the module's wait (at most a second) and the next answer fit in that,
# and so do a watch that has fallen silent, a wait and an answer. A call may wait 2 s for its turn.
ANSWER = milliseconds(2250)  # how long a call may go without an answer, headers and, of a list, all
SILENT = milliseconds(3000)  # an empty line comes each 2 s
LIST = milliseconds(3000)  # how long a list that has begun may take to end, however alive its watch is
AT_ONCE = milliseconds(
    300
)  # an agent on the same machine waits for nobody: by now it is silent, and asked beside
BESIDE = 4  # calls to a silent agent at once; the oldest is given up
AGAIN = milliseconds(250)  # how soon such an agent, which costs nothing, is asked again
MOST = 1 << 22  # octets of a line, or of the whole list
TRUNCATED = "Input data was truncated"  # as msgspec says that an object goes on
DECODER = msgspec.json.Decoder(Members)


class WatchError(ValueError):
    """What discovery said can't be used. What it meant is lost, so the watch must begin anew."""


class WatchState:
    """How far the list is known, and so what is asked next."""

    def __init__(self, version: int | None = None) -> None:
        self.version = version  # None: nothing is known, the whole list comes first
        self._begun = b""  # the first lines of an indented list

    @property
    def begun(self) -> bool:
        """Has a list begun that has not ended?"""
        return bool(self._begun)

    @property
    def watching(self) -> bool:
        """Is the next call a watch, or one for the whole list?"""
        return self.version is not None

    def target(self) -> str:
        """The path and query of the next call, with which reading begins anew."""
        self._begun = b""
        return PATH if self.version is None else f"{PATH}?watch=1&after={self.version}"

    def line(self, line: bytes) -> Members | None:
        """A watch's line; None if it only says that the watch is alive, or if an indented list goes on.

        Raises WatchError.
        """
        line = line.strip()
        if not line:
            return None
        text = self._begun + line
        if len(text) > MOST:
            raise WatchError(f"a list over {MOST >> 20} MiB")
        if not line.endswith(b"}"):
            self._begun = text  # only a brace can end it
            return None
        try:
            members = DECODER.decode(text)
        except msgspec.MsgspecError as error:
            if str(error) != TRUNCATED:
                raise WatchError(f"a line that can't be read: {error}") from None
            self._begun = text
            return None
        return self._know(members)

    def whole(self, text: bytes) -> Members:
        """A list that has ended, whole or of what has changed. Raises WatchError, and knows what it knew."""
        if len(text) > MOST:
            raise WatchError(f"a list over {MOST >> 20} MiB")
        try:
            return self._know(DECODER.decode(text))
        except msgspec.MsgspecError as error:
            raise WatchError(f"a list that can't be read: {error}") from None

    def _know(self, members: Members) -> Members:
        self._begun = b""
        if not members.all and self.version is not None and members.rev < self.version:
            known, self.version = self.version, None
            raise WatchError(f"version {members.rev} after {known}: it counts anew, the list is read whole")
        self.version = members.rev
        return members


def kind(members: Members) -> ListUpdateKind:
    """What a piece of list news is to the decision module."""
    return ListUpdateKind.FULL if members.all else ListUpdateKind.CHANGES
