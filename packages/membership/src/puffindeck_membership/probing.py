"""Pings, doubts and verdicts: who looks after a member, what counts as a word of it, and when it is dead."""

from __future__ import annotations

from puffindeck_membership.errors import PeerMisnamed
from puffindeck_membership.messages import Ack, Ask, Doubt, Envelope, Phase, Ping
from puffindeck_membership.spreading import Spreading
from puffindeck_membership.table import NEVER, Member
from puffindeck_messaging import Report

RECENT = 1.5  # periods: a word of a member this old is worth telling to who doubts it
STALE_RTT = 1.05  # an answer's quickness counts for less with each one after it


class Probing(Spreading):
    """Looking after a few members, and judging them with the others who do."""

    _turn = 0
    _subjects: tuple[str, ...] = ()

    # Pings

    def beat(self) -> None:
        """Ping the next of the members looked after."""
        subjects = tuple(self.table.rings.subjects(self.name))
        for name in set(subjects) - set(self._subjects):
            if name in self.table.living:
                self.table.living[name].since_ms = self.now
        self._subjects = subjects
        if subjects:
            self._turn += 1
            name = subjects[self._turn % len(subjects)]
            self._ping(name)
            for other in subjects:
                member = self.table.living.get(other)
                if member is not None and self.silent(member) >= self.timing.doubt_ms * self.health.patience():
                    self.press(member)
        self.after(self.timing.period_ms / max(1, len(subjects)), self.beat)

    def _ping(self, name: str) -> None:
        self.post(name, Ping(self.probed(name)), probe=True, news=[self.own()])

    def revisit(self) -> None:
        """Try one that counts as dead, or a peer of the file that was never heard: splits heal by this."""
        strangers = [name for name in self.peers if name not in self.table.members and name != self.name]
        dead = [m.name for m in self.table.members.values() if m.phase == Phase.DEAD]
        if self.table.living:
            tried = self.random.sample(strangers + dead, 1) if strangers or dead else []
        else:
            tried = strangers + dead
        for name in tried:
            news = [self.own()]
            if name in self.table.members:
                news.append(self.table.members[name].news)
            self.post(name, Ping(self.probed(name)), news=news)
        self.after(self.timing.revisit_ms * (0.75 + self.random.random() / 2), self.revisit)

    def pinged(self, envelope: Envelope, probe: int) -> None:
        address = ""
        if envelope.sender not in self.table.members:  # it does not tell where it is
            address = self.where(envelope.sender)
        self.post(envelope.sender, Ack(probe, self.name), address=address)

    def asked(self, sender: str, ask: Ask) -> None:
        """Ping another for somebody who does not hear it."""
        number = self.probed(ask.target, (sender, ask.probe))
        self.post(ask.target, Ping(number), news=[self.own()])

    def acked(self, envelope: Envelope, ack: Ack) -> None:
        known = self.probes.pop(ack.probe, None)
        if ack.of != envelope.sender:  # somebody has heard it for me, or of late
            member = self.table.living.get(ack.of)
            if member is not None and known is not None and known[0] == ack.of:
                if known[1] > member.refused_ms:
                    self._word(member)
            elif member is not None:
                member.heard_ms = max(member.heard_ms, self.now - RECENT * self.timing.period_ms)
            return
        if known is None:
            return
        name, sent_ms, asker = known
        if name != envelope.sender:
            where = f"fleet.peers.{name}"
            self.actions.append(Report(PeerMisnamed(where, address=self.where(name), found=envelope.sender)))
            return
        self.shunned = False  # it was heard
        self.health.well()
        self._compare_clocks(self.table.members.get(name), sent_ms, envelope.at_ms)
        if asker is not None:
            self.post(asker[0], Ack(asker[1], name))

    def _compare_clocks(self, member: Member | None, sent_ms: float, at_ms: float) -> None:
        """The quickest answers tell most of another's clock."""
        if member is not None:
            took = self.now - sent_ms
            member.rtt_ms *= STALE_RTT
            if took <= member.rtt_ms:
                member.rtt_ms, member.offset_ms = took, at_ms - (sent_ms + self.now) / 2

    # Words

    def word(self, envelope: Envelope, source: str) -> None:
        """A datagram of a member is a word of it, whatever it says."""
        member = self.table.members.get(envelope.sender)
        if member is None:
            return
        if member.news.phase != Phase.ALIVE or member.news.life != envelope.life:
            self.tell_back(envelope, source)
            return
        member.direct_ms = self.now
        self._word(member)

    def _word(self, member: Member) -> None:
        member.heard_ms = self.now
        member.refused_ms = NEVER
        member.doubters.clear()

    def silent(self, member: Member) -> float:
        """How long there has been no word, since this member listens and was awake."""
        return self.now - max(member.heard_ms, member.since_ms, self.health.woke_ms)

    # Doubts

    def refused(self, name: str) -> None:
        """Nobody listens there any more: its process has ended, or is being started again."""
        member = self.table.living.get(name)
        if member is not None and member.refused_ms == NEVER:
            member.refused_ms = self.now
            self.press(member)

    def press(self, member: Member) -> None:
        """Try hard to reach a member."""
        if not member.pressing:
            member.pressing = True
            self._press(member.name)

    def _press(self, name: str) -> None:
        member = self.table.living.get(name)
        if member is None or not member.pressing:
            return
        refuses = member.refused_ms != NEVER
        if self.silent(member) < self.timing.doubt_ms and not refuses:
            member.pressing = False
            return
        self._ping(name)
        for helper in self.some(1, but=name):
            self.post(helper, Ask(self.probed(name), name))
        self._tell(member)
        self._judge(member)
        self.after(self.timing.confirm_ms if refuses else self.timing.press_ms, self._press, name)

    def _tell(self, member: Member) -> None:
        """Tell the suspect, which may deny it, and who else looks after it."""
        refuses = member.refused_ms != NEVER
        if not refuses and self.silent(member) < self.timing.tell_ms * self.health.patience():
            return
        if self.health.alone(self.now, len(self.table.living)) and not refuses:
            return
        doubt = Doubt(member.name, member.news.incarnation, self._sure(member), refuses)
        told = [name for name in self.table.rings.observers(member.name) if name != self.name]
        for name in told if refuses else [*told, member.name]:
            self.post(name, doubt)

    def _sure(self, member: Member) -> bool:
        if member.refused_ms != NEVER:
            return self.now - member.refused_ms >= self.timing.confirm_ms
        return self.silent(member) >= self.timing.dead_ms * self.health.patience()

    def doubted(self, sender: str, doubt: Doubt) -> None:
        if doubt.name == self.name:
            self.refute(doubt.incarnation, sender)
            return
        member = self.table.living.get(doubt.name)
        if member is None:
            known = self.table.members.get(doubt.name)
            if known is not None:
                self.post(sender, Ack(0, self.name), news=[known.news])
            return
        if doubt.incarnation < member.news.incarnation:
            self.post(sender, Ack(0, self.name), news=[member.news])
        elif not doubt.refused and self.now - member.direct_ms < RECENT * self.timing.period_ms:
            self.post(sender, Ack(0, doubt.name))  # heard it just now
        else:
            member.doubters[sender] = self.now, doubt.sure
            if doubt.name in self._subjects:
                if not member.pressing:
                    member.pressing = True
                    self.after(0.0, self._press_for, doubt.name)
                self._judge(member)

    def _press_for(self, name: str) -> None:
        """Another observer doubts it: look at once, and go on only if there is reason to."""
        member = self.table.living.get(name)
        if member is not None:
            self._ping(name)
            self.after(self.timing.confirm_ms, self._press, name)

    # Verdicts

    def _judge(self, member: Member) -> None:
        """Dead, when this observer is sure and another one agrees, or no other is to be had."""
        timing, refuses = self.timing, member.refused_ms != NEVER
        living = self.table.living
        if not self._sure(member) or (self.health.alone(self.now, len(living)) and not refuses):
            return
        agree = any(
            sure and self.now - when < timing.agree_ms and name in living
            for name, (when, sure) in member.doubters.items()
        )
        if not agree and not self._alone_may(member, refuses):
            return
        news = member.news
        self.know(type(news)(news.name, Phase.DEAD, news.incarnation, news.life, news.address, news.region))
        self.spread()

    def _alone_may(self, member: Member, refuses: bool) -> bool:
        """May this observer judge alone? After a longer time, if no other observer gives word of itself."""
        timing, living = self.timing, self.table.living
        if refuses and len(living) == 1:
            return True
        passed, patience = (
            (self.now - member.refused_ms, timing.agree_ms) if refuses else (self.silent(member), 1.5 * timing.dead_ms)
        )
        others = [living[name] for name in self.table.rings.observers(member.name) if name in living]
        return passed >= patience and all(self.now - other.heard_ms >= timing.dead_ms / 2 for other in others)
