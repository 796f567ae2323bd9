"""What staff ask of a node: readiness, and hosts that are taken out and put back.

A word of staff's holds in this process from the call on. Its record, by which it outlives the process, is
tried again until the folder takes it.
"""

from __future__ import annotations

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds
from puffindeck.net.parts import Parts

log = Logger("puffindeck")

POLL = milliseconds(100)  # how often it is looked for what staff told another process


class Admin(Parts):
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
            self._detached_now(host)
            self._record(host)
        return known

    def attach(self, host: str) -> bool:
        known = self.directory.known(host) or host in self.detached
        if known:
            self._attached_now(host)
            self._record(host)
        return known

    def unrecorded_because(self, host: str) -> str:
        """Why staff's last word on a host has no record yet; empty if it has one."""
        return self.unrecorded.get(host, "")

    def _record(self, host: str) -> None:
        try:
            if host in self.detached:
                self.records.put(host)
            else:
                self.records.drop(host)
        except OSError as error:
            self.unrecorded[host] = error.strerror or str(error)
            self.few_records.write(
                "staff: the record of {host} can't be changed, tried again: {error}", host=host, error=error
            )
        else:
            self.unrecorded.pop(host, None)

    def _poll(self) -> None:
        """The other process of an upgrade may have been told instead."""
        self.deadlines.after(POLL, self._poll)
        for host in list(self.unrecorded):
            self._record(host)
        try:
            self._take_up()
        except FileNotFoundError:  # the folder was never made, or is lost with all records
            self._make_folder()
        except OSError as error:  # what is known holds
            self.few_records.write("staff: records can't be read: {error}", error=error)

    def _make_folder(self) -> None:
        try:
            self.records.open()
        except OSError as error:
            self.few_records.write("staff: no folder for records: {error}", error=error)
            return
        for host in sorted(self.detached):
            self._record(host)

    def _take_up(self) -> None:
        ours = self.unrecorded.keys()  # newer than what the folder says
        marked = (self.records.read() - ours) | (self.detached & ours)
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
