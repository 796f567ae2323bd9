"""Discovery's protocol without any I/O: what to ask next, what an answer says, how long to wait for one.

A front brings the HTTP: it asks for `target()`, hands over what comes (`read_list` for a whole list,
`read_line` for each line of a watch), and gives the engine the members returned. Twisted's front
(`net/discovery.py`) and asyncio's both use it.
"""

from __future__ import annotations

import msgspec

from puffindeck.config import EndpointList
from puffindeck.core.clock import milliseconds
from puffindeck.interface import ListUpdateKind

PATH = "/catalog/members"
# What changes counts as told 6 s after discovery had it and could be reached, whatever failed before. So a
# call that was lost while it was down, the module's wait (at most a second) and the next answer fit in that,
# and so do a watch that has fallen silent, a wait and an answer. A call may wait 2 s for its turn.
ANSWER_TIMEOUT = milliseconds(2250)  # of a call: its headers, and all of it where it is a list
SILENCE_TIMEOUT = milliseconds(3000)  # of a watch, which has an empty line each 2 s
LIST_TIMEOUT = milliseconds(3000)  # of a list that has begun, however alive its watch is
AGENT_ANSWER_TIMEOUT = milliseconds(300)  # of an agent on the same machine, which waits for nobody
MAX_PARALLEL_CALLS = 4  # to a silent agent; the oldest is given up
AGENT_RETRY_DELAY = milliseconds(250)  # short, as a call to an agent costs nothing
MAX_BYTES = 1 << 22  # of a line, or of a whole list
TRUNCATED = "Input data was truncated"  # as msgspec says that an object goes on
DECODER = msgspec.json.Decoder(EndpointList)


class WatchError(ValueError):
    """An answer of discovery can't be used. A change may be lost with it, so the watch must begin anew."""


class WatchState:
    """The version of the list that is known, which says what is asked next."""

    def __init__(self, version: int | None = None) -> None:
        self.version = version  # None: nothing is known, the whole list comes first
        self._begun = b""  # the first lines of an indented list

    @property
    def list_begun(self) -> bool:
        """Has a list begun that has not ended?"""
        return bool(self._begun)

    @property
    def watching(self) -> bool:
        """Is the next call a watch, or one for the whole list?"""
        return self.version is not None

    def target(self) -> str:
        """Return the path and query of the next call, and begin reading anew."""
        self._begun = b""
        return PATH if self.version is None else f"{PATH}?watch=1&after={self.version}"

    def read_line(self, line: bytes) -> EndpointList | None:
        """Read a line of a watch. None for a heartbeat, or while an indented list goes on.

        Raises WatchError.
        """
        line = line.strip()
        if not line:
            return None
        text = self._begun + line
        if len(text) > MAX_BYTES:
            raise WatchError(f"a list over {MAX_BYTES >> 20} MiB")
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
        return self._accept(members)

    def read_list(self, text: bytes) -> EndpointList:
        """Read a list that has ended, whole or of changes. Raises WatchError, and keeps the known version."""
        if len(text) > MAX_BYTES:
            raise WatchError(f"a list over {MAX_BYTES >> 20} MiB")
        try:
            return self._accept(DECODER.decode(text))
        except msgspec.MsgspecError as error:
            raise WatchError(f"a list that can't be read: {error}") from None

    def _accept(self, members: EndpointList) -> EndpointList:
        self._begun = b""
        if not members.all and self.version is not None and members.rev < self.version:
            known, self.version = self.version, None
            raise WatchError(f"version {members.rev} after {known}: it counts anew, the list is read whole")
        self.version = members.rev
        return members


def update_kind(members: EndpointList) -> ListUpdateKind:
    """Return what kind of update this list is for the decision module."""
    return ListUpdateKind.FULL if members.all else ListUpdateKind.CHANGES
