"""How a connect through the decision module fails."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet.error import ConnectError

from puffindeck.core.clock import ZERO, to_ms


class Refused(ConnectError):
    """No server was to be had in time. `wait` says when to retry, zero if nothing is known."""

    def __init__(self, wait: timedelta = ZERO) -> None:
        super().__init__(string=f"refused, come back in {to_ms(wait):.0f} ms" if wait else "refused")
        self.wait = wait


class Failed(ConnectError):
    """Given up; nothing is known of what a server has done."""

    def __init__(self) -> None:
        super().__init__(string="failed")
