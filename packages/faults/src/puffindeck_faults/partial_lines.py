"""Matches partial first lines that hosts received to the lines that clients sent."""

from __future__ import annotations

import re

from puffindeck_faults.records import ClientRecord

# A node forwards the client's line unchanged except for the remaining time, in milliseconds.
REMAINING_MS = re.compile(r"(?<=,d=)[0-9]+")


def begins_line_of(client: ClientRecord, text: str) -> bool:
    """Return whether the line that a node sends for this client can begin with `text`.

    The result is False for an empty text and for a client that has not sent its first line.
    """
    remaining_ms = REMAINING_MS.search(client.first_line)
    if remaining_ms is None:
        return bool(text) and client.first_line.startswith(text)
    before, after = client.first_line[: remaining_ms.start()], client.first_line[remaining_ms.end() :]
    if len(text) <= len(before):
        return bool(text) and before.startswith(text)
    if not text.startswith(before):
        return False
    rest = text[len(before) :]
    number = re.match(r"[1-9][0-9]*", rest)
    if number is None or int(number[0]) > int(remaining_ms[0]):
        return False
    return after.startswith(rest[number.end() :])
