"""Tenant quotas that all gateways keep together: the decisions of one gateway.

`Quota.admit` answers at once from the rights held here; `Quota.handle` moves rights to where they are needed and
agrees with the other gateways on who is given new ones. docs/design/quota.md has the ways weighed.
"""

from puffindeck_quota.errors import ClockTooFar, LimitUnknown, NoMajority, QuotaError, VotersDiffer
from puffindeck_quota.ledger import Charge
from puffindeck_quota.limits import Limit, Settings, Unit
from puffindeck_quota.model import (
    Action,
    Event,
    Refusal,
    Release,
    Retuned,
    Seen,
    Tick,
)
from puffindeck_quota.quota import Quota

__all__ = [
    "Action",
    "Charge",
    "ClockTooFar",
    "Event",
    "Limit",
    "LimitUnknown",
    "NoMajority",
    "Quota",
    "QuotaError",
    "Refusal",
    "Release",
    "Retuned",
    "Seen",
    "Settings",
    "Tick",
    "Unit",
    "VotersDiffer",
]
