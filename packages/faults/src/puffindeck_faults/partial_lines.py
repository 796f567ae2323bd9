"""First lines of which only a part came: is it the beginning of a line that a client sent?"""

from __future__ import annotations

import re

from puffindeck_faults.records import ClientRecord

# A node sends the client's line on as it is, but for the time that is left, in milliseconds.
TIME_LEFT = re.compile(r"(?<=,d=)[0-9]+")


def begins_line_of(client: ClientRecord, text: str) -> bool:
    """Does a node's line for this client begin with `text`? No line does of a client that has sent none."""
    time_left = TIME_LEFT.search(client.first_line)
    if time_left is None:
        return bool(text) and client.first_line.startswith(text)
    before, after = client.first_line[: time_left.start()], client.first_line[time_left.end() :]
    if len(text) <= len(before):
        return bool(text) and before.startswith(text)
    if not text.startswith(before):
        return False
    rest = text[len(before) :]
    figure = re.match(r"[1-9][0-9]*", rest)
    if figure is None or int(figure[0]) > int(time_left[0]):
        return False
    return after.startswith(rest[figure.end() :])
