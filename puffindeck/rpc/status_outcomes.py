"""Which outcome of an attempt a gRPC status stands for, and what may have run. No I/O: codes are numbers.

From gRPC's "Status codes and their use in gRPC" and A6 (client retries). A status does not say who made it:
the server, or the library here because the connection broke. Where that matters the library's own text tells.

| how it ended | outcome | may have run |
| --- | --- | --- |
| no connection | CONNECT_FAILED | no |
| RESOURCE_EXHAUSTED by the server, before any head or message | FULL | no |
| UNAVAILABLE before any head or message: a server that rejects the call, or is gone | ERROR | yes |
| UNAVAILABLE or RESOURCE_EXHAUSTED after one; a CANCELLED that is not ours | RESET | yes |
| INTERNAL or UNKNOWN, where the library says that the stream was reset | RESET | yes |
| DEADLINE_EXCEEDED | TIMEOUT | yes |
| the trailer `puffindeck-moved`, whatever the code: the server migrates its client | CANCELLED | yes |
| OK, and every other code: the application's own answer | OK | yes |
"""

from __future__ import annotations

from puffindeck.interface import Outcome

# gRPC's numbers of status codes
CANCELLED = 1
UNKNOWN = 2
DEADLINE_EXCEEDED = 4
RESOURCE_EXHAUSTED = 8
INTERNAL = 13
UNAVAILABLE = 14

STREAM_RESET = ("RST_STREAM", "Stream removed")  # gRPC's core, of a stream that the transport ended
TOO_LARGE = "message larger than max"  # gRPC's core, of a message that no server could take or send


def outcome_of_status(
    code: int, details: str = "", response_started: bool = False, migrated: bool = False
) -> Outcome:
    """The decision module's outcome for a status on a connection that stood.

    `details` is the status's text, `response_started` whether a head or a message came before it, `migrated`
    whether it has the trailer `puffindeck-moved`.
    """
    if migrated:
        return Outcome.CANCELLED
    if code == DEADLINE_EXCEEDED:
        return Outcome.TIMEOUT
    if code == UNAVAILABLE:
        return Outcome.RESET if response_started else Outcome.ERROR
    if code == RESOURCE_EXHAUSTED and TOO_LARGE not in details:
        return Outcome.RESET if response_started else Outcome.FULL
    if code in (INTERNAL, UNKNOWN) and any(text in details for text in STREAM_RESET):
        return Outcome.RESET
    return Outcome.RESET if code == CANCELLED else Outcome.OK
