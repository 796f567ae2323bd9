"""What the request filter knows of a request that it has admitted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from puffindeck_quota import Charge


@dataclass(slots=True)
class FilteredRequest:
    """An admitted request. `view` is what conditions of tenants and services are evaluated on."""

    charge: Charge | None
    view: Any
    is_established: bool = False
    may_have_been_served: bool = False  # by an endpoint whose attempt was given up
