"""The state that the request filter stores for an admitted request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from puffindeck_quota import Charge


@dataclass(slots=True)
class FilteredRequest:
    """An admitted request. The conditions of tenants and services are evaluated on `view`."""

    charge: Charge | None
    view: Any
    is_established: bool = False
    may_have_been_served: bool = False  # whether an endpoint of an abandoned attempt may have served it
