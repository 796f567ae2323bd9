"""Hosts that operators have detached, through whichever process of the node.

An operator's call takes effect in this process at once. Its record on disk, which outlives the process, is
retried until it is written.
"""

from __future__ import annotations

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds
from puffindeck.core.engine import Engine
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.net.detachment_store import DetachmentStore
from puffindeck.net.logs import RateLimitedLog
from puffindeck.service_discovery.directory import Directory

log = Logger("puffindeck")

POLL_INTERVAL = milliseconds(100)  # time between two reads of the records, which all processes share


class Detachment:
    """The detached hosts, and those whose record is not written yet."""

    def __init__(
        self,
        store: DetachmentStore,
        engine: Engine,
        directory: Directory,
        deadlines: TimerQueue,
        errors: RateLimitedLog,
    ) -> None:
        self.store = store
        self._engine = engine
        self._directory = directory
        self._deadlines = deadlines
        self._errors = errors
        self._hosts: set[str] = set()
        self._unrecorded: dict[str, str] = {}  # host -> why its record could not be changed

    def start(self) -> None:
        """Read the records now and at each POLL_INTERVAL. Creating their folder is retried if it fails."""
        self._make_folder()
        self._poll()

    def detach(self, host: str) -> bool:
        """Stop using a host, whatever the discovery list says. Returns False if no list has ever named it."""
        is_known = self._directory.is_known(host)
        if is_known:
            self._detach_now(host)
            self._record(host)
        return is_known

    def attach(self, host: str) -> bool:
        """Use a host again. Returns False if no list has ever named it and it is not detached."""
        is_known = self._directory.is_known(host) or host in self._hosts
        if is_known:
            self._attach_now(host)
            self._record(host)
        return is_known

    def record_error(self, host: str) -> str:
        """Return why the last call for a host is not recorded yet; empty if it is."""
        return self._unrecorded.get(host, "")

    def _record(self, host: str) -> None:
        try:
            if host in self._hosts:
                self.store.put(host)
            else:
                self.store.drop(host)
        except OSError as error:
            self._unrecorded[host] = error.strerror or str(error)
            self._errors.write(
                "staff: the record of {host} can't be changed, tried again: {error}", host=host, error=error
            )
        else:
            self._unrecorded.pop(host, None)

    def _poll(self) -> None:
        """Write missing records, then apply those that the other process of an upgrade has written."""
        self._deadlines.after(POLL_INTERVAL, self._poll)
        for host in list(self._unrecorded):
            self._record(host)
        try:
            self._apply_records()
        except FileNotFoundError:  # the folder was never created, or was deleted with all records
            self._make_folder()
        except OSError as error:  # this process's state stays in force
            self._errors.write("staff: records can't be read: {error}", error=error)

    def _make_folder(self) -> None:
        try:
            self.store.open()
        except OSError as error:
            self._errors.write("staff: no folder for records: {error}", error=error)
            return
        for host in sorted(self._hosts):
            self._record(host)

    def _apply_records(self) -> None:
        unrecorded = self._unrecorded.keys()  # this process's state of these hosts is newer than the folder's
        marked = (self.store.read() - unrecorded) | (self._hosts & unrecorded)
        for host in sorted(marked - self._hosts):
            self._detach_now(host)
        for host in sorted(self._hosts - marked):
            self._attach_now(host)

    def _detach_now(self, host: str) -> None:
        if host not in self._hosts:
            log.info("host {host}: detached", host=host)
            self._hosts.add(host)
            self._engine.detach(self._directory.number(host))

    def _attach_now(self, host: str) -> None:
        if host in self._hosts:
            log.info("host {host}: attached", host=host)
            self._hosts.discard(host)
            self._engine.attach(self._directory.number(host))
