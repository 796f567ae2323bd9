"""Discovery's protocol without any I/O: the next request, the content of responses, and the time-outs.

A front does the HTTP: it requests `target()`, passes the response to `read_list` (a whole list) or
`read_line` (each line of a watch), and passes the endpoint list that these return to the engine. Twisted's
front (`net/discovery.py`) and asyncio's (`asyncio_watch.py`) both use this module.
"""

from __future__ import annotations

import msgspec

from puffindeck.config import EndpointList
from puffindeck.core.clock import milliseconds
from puffindeck.interface import ListUpdateKind

PATH = "/catalog/members"
# A node must know of a change at most 6 s after discovery has it and can be reached, whatever failed before.
# Two sequences must therefore fit into 6 s: a call that was lost while discovery was down, the decision
# module's delay (at most 1 s) and the next answer; and a watch that fell silent, a delay and an answer.
# Discovery may take 2 s before it starts to process a call.
ANSWER_TIMEOUT = milliseconds(2250)  # limit for a response's headers, or for a whole response with a list
SILENCE_TIMEOUT = milliseconds(3000)  # time that a watch may be silent; it gets an empty line every 2 s
# Time from the first lines of a list on a watch until the list must be complete, even if bytes still arrive.
LIST_TIMEOUT = milliseconds(3000)
# An agent on the same machine answers without delay. After this time without an answer it is called again.
AGENT_ANSWER_TIMEOUT = milliseconds(300)
MAX_PARALLEL_CALLS = 4  # limit of open calls to an agent that does not answer; one more cancels the oldest
AGENT_RETRY_DELAY = milliseconds(250)  # short, because a call to an agent is cheap
MAX_BYTES = 1 << 22  # maximum size of a line or a whole list
TRUNCATED = "Input data was truncated"  # msgspec's error for an incomplete JSON object
DECODER = msgspec.json.Decoder(EndpointList)


class WatchError(ValueError):
    """A response of discovery is invalid. It may have contained a change, so a new watch must be started."""


class WatchState:
    """The version of the known list, which determines the next request."""

    def __init__(self, version: int | None = None) -> None:
        self.version = version  # None: no list is known, so the whole list is requested
        self._partial_list = b""  # the lines of an indented list that have arrived

    @property
    def list_begun(self) -> bool:
        """Whether the first lines of an indented list have arrived, but not its end."""
        return bool(self._partial_list)

    @property
    def watching(self) -> bool:
        """Whether the next request is a watch; otherwise it requests the whole list."""
        return self.version is not None

    def target(self) -> str:
        """Return path and query of the next request, and discard a partial list."""
        self._partial_list = b""
        return PATH if self.version is None else f"{PATH}?watch=1&after={self.version}"

    def read_line(self, line: bytes) -> EndpointList | None:
        """Read a line of a watch.

        Returns None for a heartbeat, or if an indented list is still incomplete. Raises WatchError.
        """
        line = line.strip()
        if not line:
            return None
        text = self._partial_list + line
        if len(text) > MAX_BYTES:
            raise WatchError(f"a list over {MAX_BYTES >> 20} MiB")
        if not line.endswith(b"}"):
            self._partial_list = text  # only a closing brace can end a list
            return None
        try:
            endpoint_list = DECODER.decode(text)
        except msgspec.MsgspecError as error:
            if str(error) != TRUNCATED:
                raise WatchError(f"a line that can't be read: {error}") from None
            self._partial_list = text
            return None
        return self._accept(endpoint_list)

    def read_list(self, text: bytes) -> EndpointList:
        """Read a complete response with a list. Raises WatchError if it is too long or invalid."""
        if len(text) > MAX_BYTES:
            raise WatchError(f"a list over {MAX_BYTES >> 20} MiB")
        try:
            return self._accept(DECODER.decode(text))
        except msgspec.MsgspecError as error:
            raise WatchError(f"a list that can't be read: {error}") from None

    def _accept(self, endpoint_list: EndpointList) -> EndpointList:
        self._partial_list = b""
        if not endpoint_list.all and self.version is not None and endpoint_list.rev < self.version:
            known, self.version = self.version, None
            raise WatchError(
                f"version {endpoint_list.rev} after {known}: it counts anew, the list is read whole"
            )
        self.version = endpoint_list.rev
        return endpoint_list


def update_kind(endpoint_list: EndpointList) -> ListUpdateKind:
    """Return the kind of update that a list is for the decision module."""
    return ListUpdateKind.FULL if endpoint_list.all else ListUpdateKind.CHANGES
