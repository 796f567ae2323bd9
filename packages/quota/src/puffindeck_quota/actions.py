"""Actions that `Quota.handle` returns for its caller to perform."""

from __future__ import annotations

from dataclasses import dataclass

from puffindeck_messaging import Report, SendMessage
from puffindeck_quota.charge import Charge


@dataclass(slots=True)
class Revoke:
    """Migrate an open connection, because its permits could not be renewed."""

    charge: Charge


Action = SendMessage | Revoke | Report
