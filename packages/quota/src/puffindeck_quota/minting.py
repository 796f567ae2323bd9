"""Who is given new rights: hellos, rosters, and what follows from them for each window."""

from __future__ import annotations

from random import Random

from xxhash import xxh32_intdigest

from puffindeck_messaging import ReportThrottle, SendMessage
from puffindeck_quota.agreement import Agreement
from puffindeck_quota.errors import ClockTooFar, LimitUnknown, NoMajority, QuotaError, VotersDiffer
from puffindeck_quota.ledger import Account, Ledger
from puffindeck_quota.limits import Limit, Settings
from puffindeck_quota.model import (
    ENCODER,
    Accept,
    Accepted,
    Action,
    Chosen,
    Hello,
    Message,
    Missing,
    Prepare,
    Promise,
    Roster,
    Seen,
)

FIRST, STEP, AGAIN = 0.05, 0.15, 0.2  # of an epoch: when the first voter proposes, each next one, and again
MISSING_MS = 500.0  # between two times that what was chosen is asked for
TOLD = 20  # accounts whose spending rides on a hello


class Minting:
    """Accounts, and the rights that the rosters give this member."""

    def __init__(
        self,
        name: str,
        life: int,
        voters: tuple[str, ...],
        limits: tuple[Limit, ...],
        settings: Settings,
        region: str,
        random: Random,
    ) -> None:
        self.name, self.life, self.region, self.settings, self.random = name, life, region, settings, random
        self.limits = {limit.name: limit for limit in limits}
        self.agreement = Agreement(name, voters)
        self.accounts: dict[str, Account] = {}
        self.hot: set[Account] = set()
        self.others: dict[str, str] = {}  # living members with a region
        self.hellos: dict[str, Hello] = {}
        self.sound = True  # is the clock near the others', and does everybody count the same voters?
        self.shunned = False
        self.now = 0.0
        self.dropped = 0
        self.actions: list[Action] = []
        self._of_tenant: dict[str, list[Account]] = {}
        self._hello_ms = self._proposed_ms = self._missing_ms = self._pruned_ms = float("-inf")
        self._proposed = -1
        self._reports = ReportThrottle()

    def send(self, to: str, message: Message) -> None:
        if to == self.name:
            assert isinstance(message, (Prepare, Promise, Accept, Accepted, Chosen, Missing))
            self.agree(to, message)
        else:
            self.actions.append(SendMessage(to, ENCODER.encode(message)))

    def report(self, error: QuotaError) -> None:
        """Tell the operators, once in an interval for each error."""
        self.actions += self._reports.reports(self.now, error)

    # Accounts

    def accounts_of(self, tenant: str) -> list[Account]:
        """The limits that hold for a tenant at this gateway."""
        found = self._of_tenant.get(tenant)
        if found is None:
            found = self._of_tenant[tenant] = [
                self._account(limit, tenant)
                for limit in self.limits.values()
                if limit.tenant in ("*", tenant) and limit.region in ("", self.region)
            ]
        return found

    def _account(self, limit: Limit, tenant: str) -> Account:
        key = f"{limit.name}#{tenant}"
        return self.accounts.get(key) or self.accounts.setdefault(key, Account(limit, key))

    def account(self, key: str) -> Account | None:
        """The account that another member names; None where this member's file has no such limit."""
        name, _, tenant = key.partition("#")
        limit = self.limits.get(name)
        if limit is None or limit.tenant not in ("*", tenant) or limit.region not in ("", self.region):
            return None
        return self._account(limit, tenant)

    def current(self, account: Account, window: int) -> bool:
        """Is it worth moving rights of this window?"""
        return 0 <= window - int((self.now - self.settings.skew_ms) // account.limit.window_ms) <= 1

    def opened(self, account: Account, window: int) -> Ledger:
        """The ledger, with what is minted here if that is known by now."""
        ledger = account.ledger(window)
        if not ledger.settled:
            roster = self.agreement.chosen.get(self._epoch(window * account.limit.window_ms))
            if roster is not None:
                ledger.mint(self._share(account, window, roster))
        return ledger

    def _epoch(self, ms: float) -> int:
        return int(ms // self.settings.epoch_ms)

    def _share(self, account: Account, window: int, roster: Roster) -> int:
        """An equal part; the rest goes to others in each window."""
        limit = account.limit
        members = [(name, life) for name, life, region in roster.members if limit.region in ("", region)]
        if (self.name, self.life) not in members:
            return 0
        amount = min(limit.amount, roster.amounts.get(limit.name, limit.amount))
        part, rest = divmod(amount, len(members))
        turn = xxh32_intdigest(f"{account.key}/{window}".encode()) % len(members)
        place = (sorted(members).index((self.name, self.life)) + turn) % len(members)
        return part + (place < rest)

    def retuned(self, limits: tuple[Limit, ...]) -> None:
        """Other limits from the file: a lower one counts at once, a higher one from the next window on."""
        self.limits = {limit.name: limit for limit in limits}
        self._of_tenant.clear()
        for key, account in list(self.accounts.items()):
            limit = self.limits.get(key.partition("#")[0])
            if limit is None:
                del self.accounts[key]
                self.hot.discard(account)
                continue
            account.limit = limit
            for window, ledger in account.ledgers.items():
                roster = self.agreement.chosen.get(self._epoch(window * limit.window_ms))
                if roster is not None:
                    ledger.lower(self._share(account, window, roster))
        self._hello_ms = float("-inf")

    # Who is there

    def begin(self) -> None:
        if self.agreement.abstains is None:
            self.agreement.begin(self._epoch(self.now))

    def seen(self, event: Seen) -> None:
        self.others = dict(event.living)
        self.shunned = event.shunned
        for gone in [name for name in self.hellos if name not in self.others]:
            del self.hellos[gone]
        far = abs(event.apart_ms) > self.settings.skew_ms
        if far:
            self.report(ClockTooFar("quota.skew", apart_ms=event.apart_ms, allowed_ms=self.settings.skew_ms))
        ours = self._voters()
        differ = [name for name, hello in self.hellos.items() if hello.voters != ours]
        for name in differ:
            self.report(VotersDiffer("quota.voters", peer=name, theirs=self.hellos[name].voters, ours=ours))
        self.sound = not (far or differ)

    def _voters(self) -> str:
        return f"{','.join(self.agreement.voters)} every {self.settings.epoch_ms} ms"

    def greeted(self, sender: str, hello: Hello) -> None:
        self.hellos[sender] = hello
        for key, (window, spent) in hello.spent.items():
            account = self.account(key)
            if account is not None:
                account.spent_there[window, sender] = spent
        for name, amount in hello.amounts.items():
            limit = self.limits.get(name)
            if limit is not None and limit.amount != amount:
                self.report(LimitUnknown(f"quota.limits {name}", peer=sender, theirs=amount, ours=limit.amount))

    def cut_off(self) -> bool:
        """Are too few voters in sight for a roster?"""
        voters = sum(name in self.others for name in self.agreement.voters if name != self.name)
        return voters + (self.name in self.agreement.voters) < self.agreement.majority or self.shunned

    # Rosters

    def propose(self) -> None:
        """Hellos, a round where it is this member's turn, and what was missed."""
        now, size = self.now, self.settings.epoch_ms
        if now - self._hello_ms >= self.settings.hello_ms:
            self._hello_ms = now
            self._say_hello()
            self._prune()
        epoch = self._epoch(now)
        into = (now - epoch * size) / size
        if epoch + 1 not in self.agreement.chosen:
            self._lead(epoch + 1, into)
        needed = {epoch, *(self._epoch(now // a.limit.window_ms * a.limit.window_ms) for a in self.hot)}
        missing = [e for e in needed if e not in self.agreement.chosen]
        if missing and now - self._missing_ms >= MISSING_MS and self.others:
            self._missing_ms = now
            for one in missing:
                self.send(self.random.choice(sorted(self.others)), Missing(one))
            if epoch in missing and self.cut_off():
                self.report(NoMajority("quota.voters", voters=self._voters(), since_ms=now - epoch * size))

    def _say_hello(self) -> None:
        spent: dict[str, tuple[int, int]] = {}
        for account in sorted(self.hot, key=lambda account: account.key)[:TOLD]:
            window = int(self.now // account.limit.window_ms)
            if window in account.ledgers:
                spent[account.key] = window, account.ledgers[window].spent
        hello = Hello(self.life, self._voters(), {n: limit.amount for n, limit in self.limits.items()}, spent)
        for name in self.others:
            self.send(name, hello)

    def _lead(self, epoch: int, into: float) -> None:
        """Voters take turns by name: the first that lives, and later the others in case it can't."""
        voters = [v for v in self.agreement.voters if v == self.name or v in self.others]
        if self.name not in voters or self.shunned or self.cut_off():
            return
        due = FIRST + STEP * min(4, voters.index(self.name))
        if into < due or (
            epoch == self._proposed
            and self.now - self._proposed_ms < (AGAIN + 0.1 * self.random.random()) * self.settings.epoch_ms
        ):
            return
        self._proposed, self._proposed_ms = epoch, self.now
        asked = self.agreement.lead(epoch, self._wanted_roster())
        for name in self.agreement.voters:
            self.send(name, asked)

    def _wanted_roster(self) -> Roster:
        members = [(self.name, self.life, self.region)]
        members += [(name, hello.life, self.others[name]) for name, hello in self.hellos.items() if name in self.others]
        amounts = {name: limit.amount for name, limit in self.limits.items()}
        for hello in self.hellos.values():
            for name, amount in hello.amounts.items():
                amounts[name] = min(amount, amounts.get(name, amount))
        return Roster(sorted(members), amounts)

    def agree(self, sender: str, message: Prepare | Promise | Accept | Accepted | Chosen | Missing) -> None:
        """A step of the agreement."""
        agreement, current = self.agreement, self._epoch(self.now)
        answer: Message | None = None
        if isinstance(message, Prepare):
            answer = agreement.prepare(message, current)
        elif isinstance(message, Accept):
            answer = agreement.accept(message, current)
        elif isinstance(message, Missing):
            if message.epoch in agreement.chosen:
                answer = Chosen(message.epoch, agreement.chosen[message.epoch])
        elif isinstance(message, Promise):
            accept = agreement.promise(sender, message)
            for name in agreement.voters if accept is not None else ():
                assert accept is not None
                self.send(name, accept)
        elif isinstance(message, Accepted):
            chosen = agreement.accepted(sender, message)
            if chosen is not None:
                self._learned()
                for name in self.others:
                    self.send(name, chosen)
        elif agreement.learn(message):
            self._learned()
        if answer is not None and sender in (self.name, *self.others):
            self.send(sender, answer)

    def _learned(self) -> None:
        """Rights of windows that are open already."""
        for account in self.accounts.values():
            for window in account.ledgers:
                self.opened(account, window)

    def _prune(self) -> None:
        """Windows and epochs that are over."""
        needed = {self._epoch(self.now)}
        for limit in self.limits.values():
            first = int((self.now - self.settings.skew_ms) // limit.window_ms)
            needed |= {self._epoch((first + i) * limit.window_ms) for i in range(2)}
        for account in self.accounts.values():
            first = int((self.now - self.settings.skew_ms) // account.limit.window_ms) - 1
            for window in [w for w in account.ledgers if w < first]:
                del account.ledgers[window]
            for table in (account.hints, account.spent_there):
                for key in [key for key in table if key[0] < first]:
                    del table[key]
        self.agreement.forget(self._epoch(self.now) - 4, needed)
