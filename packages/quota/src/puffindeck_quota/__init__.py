"""Tenant quotas that all gateways enforce together: the decisions of one gateway, without I/O or a clock.

`Quota.admit` answers at once from the permits available at this gateway. `Quota.handle` moves permits to where they
are needed and agrees with the other gateways on who receives new ones. docs/design/quota.md weighs the alternatives.
"""

from puffindeck_quota.actions import Action, Revoke
from puffindeck_quota.charge import Charge, Rejection
from puffindeck_quota.errors import ClockTooFar, LimitUnknown, NoMajority, QuotaError, VotersDiffer
from puffindeck_quota.events import Event, LimitsChanged, MembersChanged, Tick
from puffindeck_quota.limits import Limit, QuotaSettings, Unit
from puffindeck_quota.quota import Quota

__all__ = [
    "Action",
    "Charge",
    "ClockTooFar",
    "Event",
    "Limit",
    "LimitUnknown",
    "LimitsChanged",
    "MembersChanged",
    "NoMajority",
    "Quota",
    "QuotaError",
    "QuotaSettings",
    "Rejection",
    "Revoke",
    "Tick",
    "Unit",
    "VotersDiffer",
]
