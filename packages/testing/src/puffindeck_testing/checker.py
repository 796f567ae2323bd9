"""What a run came to, by what hosts and clients saw alone. It shares no code with the product."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from puffindeck_testing.world import Told, Up


def group_of(line: str) -> str:
    """The group in a first line."""
    return next((part[2:] for part in line.split(" ")[3].split(",") if part.startswith("g=")), "")


def opened(ups: Iterable[Up], group: str, window_s: float) -> Counter[int]:
    """Connections of a group by the window in which their host saw them."""
    return Counter(int(up.at // window_s) for up in ups if group_of(up.line) == group)


def outside(ups: Iterable[Up], group: str, zones: set[str]) -> list[Up]:
    """Connections of a group at a host that is not in these zones."""
    return [up for up in ups if group_of(up.line) == group and up.zone not in zones]


def without_one_answer(told: Iterable[Told]) -> list[Told]:
    """Clients that reached a gateway and did not get exactly one final answer."""
    wrong = []
    for client in told:
        first = client.answers[0] if client.answers else "silence"
        if first == "no connection":
            continue  # it never reached one: its gateway was down
        if not first.startswith(("UP", "BUSY", "ERR")):
            wrong.append(client)
    return wrong
