"""Tenant quotas that all gateways enforce together: the decisions of one gateway, without I/O or a clock.

`Quota.admit` admits or rejects a request immediately, using only the permits available at this gateway. `Quota.handle`
transfers permits to the gateways that need them and takes part in the consensus on which gateways are allocated new
permits. docs/design/quota.md compares the alternatives.
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
