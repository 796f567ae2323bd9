"""Several processes of one node, in an upgrade: the newer takes over what the older knows, and clients."""

from __future__ import annotations

from contextlib import suppress
from math import inf

from twisted.logger import Logger

from puffindeck.core.clock import monotonic_ms, span
from puffindeck.interface import LoadLimitRestored
from puffindeck.net.parts import Parts

log = Logger("puffindeck")

WORD = span(500)  # how often it is left what a process that follows should know
POLL = span(100)  # how often it is looked for other processes


class Succession(Parts):
    """This process among those that hold the clients' socket."""

    def _join(self) -> None:
        """Be one of the processes that hold the clients' socket."""
        try:
            self.generation.begin()
        except OSError as error:  # it serves all the same; the older one leaves when it is told to
            log.error("upgrade: no lock, other processes are not known: {error}", error=error)
        else:
            self._look_round()
            self._leave_word()

    def _leave_word(self) -> None:
        """For a process that may follow: it would send its first clients to strained hosts again."""
        self.deadlines.after(WORD, self._leave_word)
        if self.ready and self.leaving is None:
            ceilings = self.engine.balancer.load_limits()
            with suppress(OSError):
                self.generation.leave_word(
                    {self.directory.name(s): c for s, c in ceilings.items()}, monotonic_ms()
                )

    def _follow_up(self) -> None:
        """Take up what the process before this one knows, if there is one."""
        with suppress(OSError):
            if self.generation.others():
                word = self.generation.word(monotonic_ms())
                self.engine.tell(
                    *(
                        LoadLimitRestored(self.directory.number(host), inf if c is None else c)
                        for host, c in word.items()
                    )
                )

    def _look_round(self) -> None:
        """While there is another process, both together have what the one node has."""
        self.deadlines.after(POLL, self._look_round)
        if self.ready and self._followed() and (self.leaving is None or not self.leaving.ends):
            self._hand_over()

    def _followed(self) -> bool:
        """Is a newer process ready? The descriptors are shared with whatever other there is."""
        try:
            others = self.generation.others()
            if others or self.admission.others:
                self.generation.tell(self.ready and self.leaving is None)
                self.admission.share(sum(other.descriptors for other in others))
        except OSError as error:
            self.few_records.write("upgrade: locks can't be read: {error}", error=error)
            return False
        return any(other.newer and other.ready for other in others)
