"""The errors with which a connect of a balanced endpoint fails."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.error import ConnectError

from puffindeck.core.clock import ZERO, to_ms


class Refused(ConnectError):
    """No server accepted the connection in time, and a retry is safe.

    `wait` is the time after which to retry, or zero if none is known.
    """

    def __init__(self, wait: timedelta = ZERO) -> None:
        super().__init__(string=f"rejected; retry after {to_ms(wait):.0f} ms" if wait else "rejected")
        self.wait = wait


class Failed(ConnectError):
    """The connect failed, and a server may have processed the request."""

    def __init__(self) -> None:
        super().__init__(string="failed: a server may have processed the request")
