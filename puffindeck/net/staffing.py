"""What staff ask of a node: readiness, and hosts that are taken out and put back."""

from __future__ import annotations

from twisted.logger import Logger

from puffindeck.core.clock import span
from puffindeck.net.parts import Parts

log = Logger("puffindeck")

POLL = span(100)  # how often it is looked for what staff told another process


class Staffing(Parts):
    """Hosts out of use by staff's word, whichever process was told."""

    def why_not_ready(self) -> str:
        if not self.ready:
            return "starting"
        if self.leaving is None:
            return ""
        return "stopping" if self.leaving.ends else "draining"

    def detach(self, host: str) -> bool:
        """Nothing more to a host, whatever the list says. False if the list has never named it."""
        known = self.directory.known(host)
        if known:
            self.records.put(host)  # the record comes before the yes
            self._detached_now(host)  # not by reading: a folder that can't be read must not keep a yes back
        return known

    def attach(self, host: str) -> bool:
        known = self.directory.known(host) or host in self.detached
        if known:
            self.records.drop(host)
            self._attached_now(host)
        return known

    def _poll(self) -> None:
        """The other process of an upgrade may have been told instead."""
        self.deadlines.after(POLL, self._poll)
        try:
            self._take_up()
        except OSError as error:  # what is known holds
            self.few_records.write("staff: records can't be read: {error}", error=error)

    def _take_up(self) -> None:
        marked = self.records.read()
        for host in sorted(marked - self.detached):
            self._detached_now(host)
        for host in sorted(self.detached - marked):
            self._attached_now(host)

    def _detached_now(self, host: str) -> None:
        if host not in self.detached:
            log.info("host {host}: detached", host=host)
            self.detached.add(host)
            self.engine.detach(self.directory.number(host))

    def _attached_now(self, host: str) -> None:
        if host in self.detached:
            log.info("host {host}: attached", host=host)
            self.detached.discard(host)
            self.engine.attach(self.directory.number(host))
