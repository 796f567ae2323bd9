"""Evaluates a run from what hosts and clients observed, without any code of the product."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from puffindeck_testing.clients import ClientResult
from puffindeck_testing.hosts import HostConnection

FINAL_ANSWERS = ("UP", "BUSY", "ERR")


def group_of(first_line: str) -> str:
    """Return the group in a first line, or an empty string if it names none."""
    attributes = first_line.split(" ")[3].split(",")
    return next((attribute[2:] for attribute in attributes if attribute.startswith("g=")), "")


def connections_per_window(connections: Iterable[HostConnection], group: str, window_s: float) -> Counter[int]:
    """Count a group's connections by the window of Unix time in which their host accepted them."""
    return Counter(
        int(connection.opened // window_s) for connection in connections if group_of(connection.first_line) == group
    )


def connections_outside(connections: Iterable[HostConnection], group: str, zones: set[str]) -> list[HostConnection]:
    """Return the connections of a group at hosts outside the given zones."""
    return [
        connection
        for connection in connections
        if group_of(connection.first_line) == group and connection.zone not in zones
    ]


def without_final_answer(results: Iterable[ClientResult]) -> list[ClientResult]:
    """Return the results of clients that connected to a gateway and did not receive a final answer."""
    unanswered = []
    for result in results:
        first = result.answers[0] if result.answers else "silence"
        if first == "no connection":
            continue  # the gateway was down
        if not first.startswith(FINAL_ANSWERS):
            unanswered.append(result)
    return unanswered
