"""Actions that `Quota.handle` returns."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_messaging import Report, SendMessage
from puffindeck_quota.charge import Charge


@dataclass(slots=True)
class Revoke:
    """An open connection has no permit any more and is to be moved."""

    charge: Charge


Action = SendMessage | Revoke | Report
