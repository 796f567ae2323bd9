"""One gateway's quotas: admission at once from what is held here, rights that follow demand."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec

from puffindeck_messaging import MessageReceived
from puffindeck_quota.ledger import Account, Charge, Ledger
from puffindeck_quota.limits import Limit, Settings, Unit
from puffindeck_quota.minting import Minting
from puffindeck_quota.model import (
    DECODER,
    Accept,
    Accepted,
    Action,
    Chosen,
    Event,
    Give,
    Hello,
    Missing,
    Prepare,
    Promise,
    Refusal,
    Release,
    Retuned,
    Seen,
    Tick,
    Want,
)

SECOND = 1000.0
NEWS = 0.02  # of what is held: rights that came and are worth asking for more at once
HANDED_MS = 300.0  # before the end of a window: connections without a right in the next one are sent away


class Quota(Minting):
    """The quotas of one gateway. `life` is its process's own, as in the fleet."""

    def __init__(
        self,
        name: str,
        *,
        life: int,
        voters: tuple[str, ...],
        limits: tuple[Limit, ...],
        settings: Settings | None = None,
        region: str = "",
        seed: int = 0,
    ) -> None:
        super().__init__(name, life, voters, limits, settings or Settings(), region, Random(seed))
        self._standing: set[Charge] = set()
        self._second_ms = float("-inf")
        self._asked_ms = float("-inf")

    # Admission

    def admit(self, tenant: str, now: float, until: float) -> Charge | Refusal:
        """Charge a request that may be served up to then; or say which limit has nothing left, and for how long.

        Near a window's end the request may be served in either, and is charged in both until it is known.
        """
        charge = Charge(tenant, now)
        skew = self.settings.skew_ms
        for account in self.accounts_of(tenant):
            account.note(now, self.settings.memory_ms)
            self.hot.add(account)
            limit = account.limit
            size, windows = limit.window_ms, set[int]()
            charge.parts.append((account, windows))
            for window in range(int((now - skew) // size), int((until + skew) // size) + 1):
                ledger = account.ledgers.get(window) or self.opened(account, window)
                if (not limit.strict or self.sound) and ledger.spend():
                    windows.add(window)
                elif not self._overdraw(account, window, ledger, charge):
                    ledger.refused += 1
                    self.give_back(charge)
                    return Refusal(limit.name, self._wait(account, window, ledger, now))
        return charge

    def _overdraw(self, account: Account, window: int, ledger: Ledger, charge: Charge) -> bool:
        """A limit that is not strict serves on while the others can't be asked: each voter its equal part more."""
        limit = account.limit
        if limit.strict or not self.settings.overdraw or not self.cut_off():
            return False
        if ledger.overdrawn >= -(-limit.amount // len(self.agreement.voters)):
            return False
        ledger.overdrawn += 1
        charge.overdrawn.append((account, window))
        return True

    def _wait(self, account: Account, window: int, ledger: Ledger, now: float) -> float:
        """Until rights are expected: soon where others have some, else by lot after the window's start."""
        size, settings = account.limit.window_ms, self.settings
        lot = self.random.random()
        hints = [left for (when, _), left in account.hints.items() if when == window]
        if ledger.settled and len(hints) >= len(self.others) and not any(hints):
            refused = min(1.0, ledger.refused / max(1, account.limit.amount))
            return (window + 1) * size - now + settings.skew_ms + lot * refused * size / 2
        return settings.ask_ms * (1.0 + 2.0 * lot)

    def began(self, charge: Charge, now: float) -> None:
        """It is served: the windows in which that can't have been are free again."""
        skew = self.settings.skew_ms
        charge.begun_ms = now
        for account, windows in charge.parts:
            size = account.limit.window_ms
            possible = range(int((charge.asked_ms - skew) // size), int((now + skew) // size) + 1)
            for window in windows - set(possible):
                account.ledgers[window].unspend()
                windows.discard(window)
            if account.limit.unit != Unit.OPENS:
                account.standing.add(charge)
                self._standing.add(charge)

    def give_back(self, charge: Charge) -> None:
        """It was refused for another reason, and no server can have served it."""
        if charge.over:
            return
        charge.over = True
        for account, windows in charge.parts:
            for window in windows:
                if window in account.ledgers:
                    account.ledgers[window].unspend()
        for account, window in charge.overdrawn:
            if window in account.ledgers:
                account.ledgers[window].overdrawn -= 1

    def ended(self, charge: Charge, now: float) -> None:
        """Its connection has ended, or it may have been served unseen: what stood at once is free again."""
        if charge.over:
            return
        charge.over = True
        self._standing.discard(charge)
        for account, windows in charge.parts:
            account.standing.discard(charge)
            if account.limit.unit == Unit.STANDING:
                for window in windows:
                    if window in account.ledgers:
                        account.ledgers[window].unspend()

    # Events

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in what has happened; what to send, and whom to send away."""
        self.actions, self.now = [], now
        self.begin()
        for event in events:
            if isinstance(event, MessageReceived):
                self._came(event)
            elif isinstance(event, Seen):
                self.seen(event)
            elif isinstance(event, Retuned):
                self.retuned(event.limits)
            else:
                assert isinstance(event, Tick)
        self.propose()
        self._stand()
        if now - self._asked_ms >= self.settings.ask_ms:
            self._asked_ms = now
            self._ask()
        return self.actions

    def _came(self, event: MessageReceived) -> None:
        try:
            message = DECODER.decode(event.data)
        except msgspec.MsgspecError:
            self.dropped += 1
            return
        if isinstance(message, Want):
            self._wanted(event.sender, message)
        elif isinstance(message, Give):
            self._given(event.sender, message)
        elif isinstance(message, Hello):
            self.greeted(event.sender, message)
        else:
            assert isinstance(message, (Prepare, Promise, Accept, Accepted, Chosen, Missing))
            self.agree(event.sender, message)

    # Rights on their way

    def _ask(self) -> None:
        """Ask for what will be needed here, before it runs out."""
        now, settings = self.now, self.settings
        for account in sorted(self.hot, key=lambda account: account.key):
            rate = account.rate(now, settings.memory_ms)
            if rate < 0.05:
                self.hot.discard(account)
                continue
            size = account.limit.window_ms
            current = int(now // size)
            if self.opened(account, current).held < rate * settings.short_ms / SECOND:
                account.again_ms = min(account.again_ms, now)
            if account.again_ms > now:
                continue
            account.every_ms = min(settings.rest_ms, max(settings.ask_ms, 1.2 * account.every_ms))
            account.again_ms = now + account.every_ms
            for window in range(current, int((now + settings.ahead_ms) // size) + 1):
                ledger = self.opened(account, window)
                span = (window + 1) * size - max(now, window * size)
                if ledger.held < max(1.0, rate * span / SECOND):
                    for name in self._asked(account, window):
                        self.send(name, Want(account.key, window, ledger.held, rate, self.life))

    def _asked(self, account: Account, window: int) -> list[str]:
        """Those that hold most, as far as they have told; first those that have not."""
        region = account.limit.region
        names = [name for name, where in self.others.items() if not region or where == region]
        self.random.shuffle(names)
        hinted = {name: account.hints.get((window, name)) for name in names}
        names.sort(key=lambda name: -(1 << 60) if hinted[name] is None else -(hinted[name] or 0))
        return [n for n in names if hinted[n] != 0 or self.random.random() < 0.2][: self.settings.asked]

    def _wanted(self, sender: str, want: Want) -> None:
        """Share what is held in proportion to what is asked for at both."""
        account = self.account(want.limit)
        if account is None or not self.current(account, want.window):
            return
        ledger = self.opened(account, want.window)
        rate = account.rate(self.now, self.settings.memory_ms)
        both = max(0, ledger.held) + max(0, want.held)
        part = want.rate / (want.rate + rate) if want.rate + rate > 0 else 0.5
        count = int(both * part + 0.5) - max(0, want.held)
        total = ledger.give((sender, want.life), count)
        account.hints[want.window, sender] = want.held + max(0, count)
        self.send(sender, Give(want.limit, want.window, total, want.life, self.life, ledger.held))

    def _given(self, sender: str, give: Give) -> None:
        account = self.account(give.limit)
        if account is None or give.to_life != self.life or not self.current(account, give.window):
            return
        account.hints[give.window, sender] = give.left
        ledger = self.opened(account, give.window)
        if ledger.take((sender, give.life), give.total) > NEWS * max(1, ledger.held):
            account.every_ms = account.again_ms = 0.0

    # What stands

    def _stand(self) -> None:
        """Charge what stands for its next window or second; who has no right is sent away."""
        now = self.now
        for charge in list(self._standing):
            for account, windows in charge.parts:
                if account.limit.unit == Unit.STANDING and not self._keeps(account, windows, now):
                    self._release(charge)
                    break
        if now - self._second_ms >= SECOND:
            self._second_ms = now
            for charge in list(self._standing):
                for account, _ in charge.parts:
                    if account.limit.unit == Unit.SECONDS and not self._lasts(account, charge, now):
                        self._release(charge)
                        break

    def _keeps(self, account: Account, windows: set[int], now: float) -> bool:
        """Does a standing connection have its right in this window, and soon in the next?"""
        size = account.limit.window_ms
        current = int(now // size)
        for window in [w for w in windows if w < current - 1]:
            windows.discard(window)
        ends = (current + 1) * size
        if ends - now > self.settings.epoch_ms / 2 or current + 1 in windows:
            return True
        self.hot.add(account)
        if self.opened(account, current + 1).spend():
            windows.add(current + 1)
            return True
        return ends - now > self.settings.skew_ms + HANDED_MS

    def _lasts(self, account: Account, charge: Charge, now: float) -> bool:
        """One second more, from the second after its first."""
        if now - charge.begun_ms < SECOND:
            return True
        account.note(now, self.settings.memory_ms)
        self.hot.add(account)
        window = int((now + SECOND) // account.limit.window_ms)
        ledger = self.opened(account, window)
        return ledger.spend() or self._overdraw(account, window, ledger, charge)

    def _release(self, charge: Charge) -> None:
        self.actions.append(Release(charge))
        self.ended(charge, self.now)

    # For staff

    def view(self, now: float) -> list[dict[str, object]]:
        """Each limit as `GET /_quotas` has it."""
        rows: list[dict[str, object]] = []
        for limit in self.limits.values():
            if limit.tenant != "*":  # shown also while nobody has asked for it
                self.account(f"{limit.name}#{limit.tenant}")
        for account in sorted(self.accounts.values(), key=lambda account: account.key):
            limit = account.limit
            window = int(now // limit.window_ms)
            ledger = account.ledgers.get(window) or Ledger()
            there = sum(n for (when, _), n in account.spent_there.items() if when == window)
            rows.append(
                {
                    "tenant": account.key.partition("#")[2],
                    "unit": str(limit.unit),
                    "limit": limit.amount,
                    "window_ms": limit.window_ms,
                    "ends_ms": (window + 1) * limit.window_ms,
                    "spent_here": ledger.spent,
                    "spent_fleet": ledger.spent + there,
                    "held_here": ledger.held,
                }
            )
        return rows
