"""Conditions of routes: what a front knows of a client, compared with values."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network
from typing import NamedTuple

from puffindeck.hashes import key_number
from puffindeck.interface import ConnectionInfo

# what a condition may be on, and the ways in which it may be compared, the usual one first
TEXTS = ("exact", "prefix", "suffix", "contains", "regex")
WAYS = {
    "source": ("network",),
    "source_port": ("range",),
    "port": ("range",),
    "listener": TEXTS,
    "server_name": TEXTS,
    "class": TEXTS,
    "group": ("exact",),
    "usable": ("range",),
}

HIGHEST = 1 << 31  # of a range that has no end


class ConditionError(ValueError):
    """A condition can't be read; the text says why."""


class RequestView(NamedTuple):
    """What is known of a request when its route is looked for."""

    facts: ConnectionInfo
    cls: str
    usable: Callable[[str], int]  # how many endpoints of a pool are fit to serve now
    group: int = 0  # of the client, as the decision module has it


def _range(text: str) -> tuple[int, int]:
    """`80`, `1024:65535`, `:1023`, `5:`."""
    low, colon, high = text.partition(":")
    if not colon:
        high = low
    if not re.fullmatch(r"\d*:?\d*", text) or text in ("", ":"):
        raise ConditionError(f"{text!r} is no number or range LOW:HIGH")
    first = int(low or 0)
    last = int(high) if high else HIGHEST
    if first > last:
        raise ConditionError(f"{text!r} is an empty range")
    return first, last


def _network(text: str) -> IPv4Network | IPv6Network:
    try:
        return ip_network(text, strict=False)
    except ValueError:
        raise ConditionError(f"{text!r} is no address or network") from None


@dataclass(frozen=True)
class Condition:
    """One thing that a request must meet, or with `negated` must not.

    What is not known equals no value: a condition on it fails, and a negated one is met. ConditionError says
    what is wrong with one that can't be read.
    """

    on: str
    values: tuple[str, ...]
    how: str = ""
    negated: bool = False
    ignore_case: bool = False
    pool: str = ""  # whose usable endpoints are counted
    _ready: tuple[object, ...] = field(default=(), init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        ways = WAYS.get(self.on)
        if ways is None:
            raise ConditionError(f"on must be one of {', '.join(WAYS)}, not {self.on!r}")
        if not self.how:
            object.__setattr__(self, "how", ways[0])
        if self.how not in ways:
            raise ConditionError(f"{self.on} is compared by {', '.join(ways)}, not {self.how!r}")
        if not self.values:
            raise ConditionError(f"{self.on} has no values")
        if (self.on == "usable") != bool(self.pool):
            raise ConditionError("usable, and nothing else, names a pool")
        read: dict[str, Callable[[str], object]] = {
            "network": _network,
            "range": _range,
            "regex": self._pattern,
        }
        convert = read.get(self.how, self._folded)
        object.__setattr__(self, "_ready", tuple(convert(value) for value in self.values))

    def _folded(self, text: str) -> str:
        return text.lower() if self.ignore_case else text

    def _pattern(self, text: str) -> re.Pattern[str]:
        try:
            return re.compile(text, re.IGNORECASE if self.ignore_case else 0)
        except re.error as error:
            raise ConditionError(f"{text!r} is no regular expression: {error}") from None

    @cached_property
    def _networks(self) -> tuple[IPv4Network | IPv6Network, ...]:
        return tuple(net for net in self._ready if isinstance(net, (IPv4Network, IPv6Network)))

    def holds(self, view: RequestView) -> bool:
        """Whether this request meets it."""
        return self._met(view) != self.negated

    def _met(self, view: RequestView) -> bool:
        facts = view.facts
        if self.on == "source":
            return bool(facts.source) and self._within(facts.source)
        if self.on == "group":
            return view.group > 0 and any(key_number(value.encode()) == view.group for value in self.values)
        if self.on == "usable":
            return self._counts(view.usable(self.pool))
        if self.on in ("source_port", "port"):
            figure = facts.source_port if self.on == "source_port" else facts.port
            return figure > 0 and self._counts(figure)
        text = {"listener": facts.listener, "server_name": facts.server_name, "class": view.cls}[self.on]
        return bool(text) and self._reads(self._folded(text))

    def _within(self, source: str) -> bool:
        try:
            address = ip_address(source)
        except ValueError:
            return False
        mapped = getattr(address, "ipv4_mapped", None) or address  # a v4 client on a v6 port
        return any(mapped in net for net in self._networks)

    def _counts(self, figure: int) -> bool:
        return any(isinstance(bounds, tuple) and bounds[0] <= figure <= bounds[1] for bounds in self._ready)

    def _reads(self, text: str) -> bool:
        compare: dict[str, Callable[[str], bool]] = {
            "exact": text.__eq__,
            "prefix": text.startswith,
            "suffix": text.endswith,
            "contains": text.__contains__,
        }
        if self.how == "regex":
            return any(isinstance(p, re.Pattern) and p.search(text) is not None for p in self._ready)
        return any(isinstance(value, str) and compare[self.how](value) for value in self._ready)
