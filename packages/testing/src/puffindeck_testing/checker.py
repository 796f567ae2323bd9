"""The result of a run, computed from what hosts and clients observed. It shares no code with the product."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from puffindeck_testing.clients import ClientResult
from puffindeck_testing.hosts import HostConnection

FINAL_ANSWERS = ("UP", "BUSY", "ERR")


def group_of(first_line: str) -> str:
    """The group in a first line, empty if there is none."""
    attributes = first_line.split(" ")[3].split(",")
    return next((attribute[2:] for attribute in attributes if attribute.startswith("g=")), "")


def connections_per_window(connections: Iterable[HostConnection], group: str, window_s: float) -> Counter[int]:
    """The number of a group's connections, by the window of Unix time in which their host saw them open."""
    return Counter(int(one.opened // window_s) for one in connections if group_of(one.first_line) == group)


def connections_outside(connections: Iterable[HostConnection], group: str, zones: set[str]) -> list[HostConnection]:
    """The connections of a group at hosts that are not in these zones."""
    return [one for one in connections if group_of(one.first_line) == group and one.zone not in zones]


def without_final_answer(results: Iterable[ClientResult]) -> list[ClientResult]:
    """The clients that reached a gateway and did not get a final answer."""
    wrong = []
    for result in results:
        first = result.answers[0] if result.answers else "silence"
        if first == "no connection":
            continue  # the gateway was down
        if not first.startswith(FINAL_ANSWERS):
            wrong.append(result)
    return wrong
