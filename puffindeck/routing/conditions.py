"""Conditions of routes: comparisons of a request's attributes with configured values."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import cached_property
from ipaddress import IPv4Network, IPv6Network, ip_address, ip_network
from typing import NamedTuple

from puffindeck.hashes import key_number
from puffindeck.interface import ConnectionInfo

TEXT_COMPARISONS = ("exact", "prefix", "suffix", "contains", "regex")
# The attributes that a condition may test, and the comparisons that each allows. The first comparison is the
# attribute's default.
COMPARISONS = {
    "source": ("network",),
    "source_port": ("range",),
    "port": ("range",),
    "listener": TEXT_COMPARISONS,
    "server_name": TEXT_COMPARISONS,
    "class": TEXT_COMPARISONS,
    "group": ("exact",),
    "usable": ("range",),
}

NO_UPPER_BOUND = 1 << 31  # upper bound of a range without one; above every port and endpoint count


class ConditionError(ValueError):
    """A condition is invalid. The text describes the fault."""


class RequestView(NamedTuple):
    """The attributes of a request that conditions are evaluated on."""

    connection_info: ConnectionInfo
    cls: str  # name of the request's class
    usable: Callable[[str], int]  # returns the number of healthy endpoints of a pool
    group: int = 0  # number of the client's group as in `RequestArrived`; 0: none


def _parse_range(text: str) -> tuple[int, int]:
    """Parse a number or an inclusive range: `80`, `1024:65535`, `:1023` or `5:`."""
    low, colon, high = text.partition(":")
    if not colon:
        high = low
    if not re.fullmatch(r"\d*:?\d*", text) or text in ("", ":"):
        raise ConditionError(f"{text!r} is not a number or a range LOW:HIGH")
    first = int(low or 0)
    last = int(high) if high else NO_UPPER_BOUND
    if first > last:
        raise ConditionError(f"{text!r} is an empty range")
    return first, last


def _parse_network(text: str) -> IPv4Network | IPv6Network:
    try:
        return ip_network(text, strict=False)
    except ValueError:
        raise ConditionError(f"{text!r} is not an IP address or network") from None


@dataclass(frozen=True)
class Condition:
    """A test of one attribute of a request, which passes if any of `values` matches the attribute.

    `negated` inverts the result. An unknown attribute matches no value. The constructor raises ConditionError
    if the condition is invalid.
    """

    on: str  # the attribute, a key of COMPARISONS
    values: tuple[str, ...]
    how: str = ""  # the comparison; empty: the attribute's default
    negated: bool = False
    ignore_case: bool = False
    pool: str = ""  # the pool whose healthy endpoints `usable` counts; empty for other attributes
    # `values`, converted for the comparison
    _operands: tuple[object, ...] = field(default=(), init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        comparisons = COMPARISONS.get(self.on)
        if comparisons is None:
            raise ConditionError(f"on must be one of {', '.join(COMPARISONS)}, not {self.on!r}")
        if not self.how:
            object.__setattr__(self, "how", comparisons[0])
        if self.how not in comparisons:
            raise ConditionError(f"{self.on} is compared by {', '.join(comparisons)}, not {self.how!r}")
        if not self.values:
            raise ConditionError(f"{self.on} has no values")
        if (self.on == "usable") != bool(self.pool):
            raise ConditionError("a condition on usable must name a pool, and no other condition may")
        converters: dict[str, Callable[[str], object]] = {
            "network": _parse_network,
            "range": _parse_range,
            "regex": self._compile_pattern,
        }
        convert = converters.get(self.how, self._fold_case)
        object.__setattr__(self, "_operands", tuple(convert(value) for value in self.values))

    def _fold_case(self, text: str) -> str:
        return text.lower() if self.ignore_case else text

    def _compile_pattern(self, text: str) -> re.Pattern[str]:
        try:
            return re.compile(text, re.IGNORECASE if self.ignore_case else 0)
        except re.error as error:
            raise ConditionError(f"{text!r} is not a regular expression: {error}") from None

    @cached_property
    def _networks(self) -> tuple[IPv4Network | IPv6Network, ...]:
        return tuple(operand for operand in self._operands if isinstance(operand, (IPv4Network, IPv6Network)))

    def holds(self, view: RequestView) -> bool:
        """Return whether the request meets the condition."""
        return self._any_value_matches(view) != self.negated

    def _any_value_matches(self, view: RequestView) -> bool:
        connection = view.connection_info
        if self.on == "source":
            return bool(connection.source) and self._matches_address(connection.source)
        if self.on == "group":
            return view.group > 0 and any(key_number(value.encode()) == view.group for value in self.values)
        if self.on == "usable":
            return self._matches_number(view.usable(self.pool))
        if self.on in ("source_port", "port"):
            port = connection.source_port if self.on == "source_port" else connection.port
            return port > 0 and self._matches_number(port)
        text = {
            "listener": connection.listener,
            "server_name": connection.server_name,
            "class": view.cls,
        }[self.on]
        return bool(text) and self._matches_text(self._fold_case(text))

    def _matches_address(self, source: str) -> bool:
        try:
            address = ip_address(source)
        except ValueError:
            return False
        # An IPv6 socket reports IPv4 clients by IPv4-mapped addresses.
        unmapped = getattr(address, "ipv4_mapped", None) or address
        return any(unmapped in network for network in self._networks)

    def _matches_number(self, number: int) -> bool:
        return any(
            isinstance(bounds, tuple) and bounds[0] <= number <= bounds[1] for bounds in self._operands
        )

    def _matches_text(self, text: str) -> bool:
        compare: dict[str, Callable[[str], bool]] = {
            "exact": text.__eq__,
            "prefix": text.startswith,
            "suffix": text.endswith,
            "contains": text.__contains__,
        }
        if self.how == "regex":
            return any(
                isinstance(pattern, re.Pattern) and pattern.search(text) is not None
                for pattern in self._operands
            )
        return any(isinstance(value, str) and compare[self.how](value) for value in self._operands)
