"""Tenant quotas that all gateways keep together: the decisions of one gateway.

`Quota.admit` answers at once from the rights held here; `Quota.handle` moves rights to where they are needed and
agrees with the other gateways on who is given new ones. docs/design/quota.md has the ways weighed.
"""

from puffindeck_quota.errors import ClockTooFar, LimitUnknown, NoMajority, QuotaError, VotersDiffer
from puffindeck_quota.ledger import Charge
from puffindeck_quota.limits import Limit, Settings, Unit
from puffindeck_quota.model import (
    Action,
    Came,
    Event,
    Parcel,
    Refusal,
    Release,
    Reported,
    Retuned,
    Seen,
    Tick,
)
from puffindeck_quota.quota import Quota

__all__ = [
    "Action",
    "Came",
    "Charge",
    "ClockTooFar",
    "Event",
    "Limit",
    "LimitUnknown",
    "NoMajority",
    "Parcel",
    "Quota",
    "QuotaError",
    "Refusal",
    "Release",
    "Reported",
    "Retuned",
    "Seen",
    "Settings",
    "Tick",
    "Unit",
    "VotersDiffer",
]
