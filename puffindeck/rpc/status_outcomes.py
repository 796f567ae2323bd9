"""Maps the gRPC status of an attempt to the outcome of the attempt. Does no I/O; status codes are numbers.

Based on gRPC's "Status codes and their use in gRPC" and gRFC A6 (client retries). A status does not show
whether the server sent it or the local library created it because the connection broke. Where the difference
matters, the text of the status decides.

| end of the attempt | outcome | call may have run |
| --- | --- | --- |
| no connection | CONNECT_FAILED | no |
| RESOURCE_EXHAUSTED from the server, before initial metadata or a message | FULL | no |
| UNAVAILABLE before initial metadata or a message: the server rejects the call or is gone | ERROR | yes |
| UNAVAILABLE or RESOURCE_EXHAUSTED after them; CANCELLED that the client did not cause | RESET | yes |
| INTERNAL, UNKNOWN, RESOURCE_EXHAUSTED if the library's text says that the stream was reset | RESET | yes |
| INTERNAL if the library's text says that it could not send a message | RESET | yes |
| DEADLINE_EXCEEDED | TIMEOUT | yes |
| any code with the trailer `puffindeck-moved`: the server migrates its client | CANCELLED | yes |
| OK and all other codes: the application's own response | OK | yes |
"""

from __future__ import annotations

from puffindeck.interface import Outcome

# gRPC status codes
CANCELLED = 1
UNKNOWN = 2
DEADLINE_EXCEEDED = 4
RESOURCE_EXHAUSTED = 8
INTERNAL = 13
UNAVAILABLE = 14

# Texts of gRPC core for a stream that the transport ended, and of grpc.aio for a message not sent
STREAM_RESET = ("RST_STREAM", "Stream removed", "Internal error from Core")
# Text of gRPC core for a message over the size limit. Such a message fails alike at every server.
TOO_LARGE = "message larger than max"


def outcome_of_status(
    code: int, details: str = "", response_started: bool = False, migrated: bool = False
) -> Outcome:
    """Return the outcome for a status that was received on an established connection.

    `details` is the status text, `response_started` tells whether initial metadata or a message preceded the
    status, and `migrated` whether it has the trailer `puffindeck-moved`.
    """
    if migrated:
        return Outcome.CANCELLED
    if code == DEADLINE_EXCEEDED:
        return Outcome.TIMEOUT
    if code == UNAVAILABLE:
        return Outcome.RESET if response_started else Outcome.ERROR
    if code in (INTERNAL, UNKNOWN, RESOURCE_EXHAUSTED) and any(text in details for text in STREAM_RESET):
        return Outcome.RESET
    if code == RESOURCE_EXHAUSTED and TOO_LARGE not in details:
        return Outcome.RESET if response_started else Outcome.FULL
    return Outcome.RESET if code == CANCELLED else Outcome.OK
