"""Servers of a backend and the options of `server` statements."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.keywords import find_keyword
from puffindeck.importer.statement import Statement
from puffindeck.importer.values import parse_integer, parse_time_ms

NUMBER_LIMITS = {"weight": 256, "maxconn": 1 << 31}  # maximum value of each numeric option
# Options that ServerOptionReader converts; the keyword table has the dispositions of others.
CONVERTED_OPTIONS = (*NUMBER_LIMITS, "backup", "disabled", "slowstart")


@dataclass(frozen=True, slots=True)
class ServerOptions:
    """The options of a `server` statement. An omitted option has the value that `default-server` sets."""

    weight: int = 1
    is_backup: bool = False
    is_disabled: bool = False
    maxconn: int = 0  # 0: no limit
    slowstart_ms: float = 0.0


@dataclass(slots=True)
class Server:
    """A server of a backend."""

    name: str
    endpoint: str  # HOST:PORT
    weight: int = 1
    is_backup: bool = False
    is_draining: bool = False
    maxconn: int = 0  # 0: no limit

    def to_target(self, uid: str) -> dict[str, Any]:
        """Return the server's entry in `known.targets`."""
        return {
            "uid": uid,
            "endpoint": self.endpoint,
            "state": "DRAINING" if self.is_draining or not self.weight else "SERVING",
            "az": "site",
            "model": "server",
            "capacity_hint": float(self.weight or 1),
        }


class ServerOptionReader:
    """Reads the options of one `server`, `server-template` or `default-server` statement."""

    def __init__(
        self, statement: Statement, words: list[str], defaults: ServerOptions, report: ImportReport
    ) -> None:
        self._statement = statement
        self._words = list(words)
        self._options = defaults
        self._report = report

    def read(self) -> ServerOptions:
        """Read the options, and report how each is handled. Raises HaproxyImportError for a bad value."""
        while self._words:
            self._read_option(self._words.pop(0))
        return self._options

    def _read_option(self, option: str) -> None:
        if option in NUMBER_LIMITS:
            self._read_number(option)
        elif option in ("backup", "no-backup"):
            self._options = replace(self._options, is_backup=option == "backup")
        elif option in ("disabled", "enabled"):
            self._read_disabled(option == "disabled")
        elif option == "slowstart":
            self._read_slowstart()
        else:
            self._record_other(option)

    def _next_word(self) -> str:
        return self._words.pop(0) if self._words else ""

    def _record_changed(self, note: str) -> None:
        self._report.record(self._statement.location, Disposition.CHANGED, note)

    def _read_number(self, option: str) -> None:
        number = parse_integer(self._statement, self._next_word(), 0, NUMBER_LIMITS[option])
        if option == "weight":
            self._options = replace(self._options, weight=number)
            return
        self._options = replace(self._options, maxconn=number)
        self._record_changed(
            "maxconn: a connection over the limit is rejected with a Retry-After time, not queued"
        )

    def _read_disabled(self, is_disabled: bool) -> None:
        self._options = replace(self._options, is_disabled=is_disabled)
        if is_disabled:
            self._record_changed(
                "disabled: the server drains until an operator or the endpoint list changes its state"
            )

    def _read_slowstart(self) -> None:
        slowstart_ms = parse_time_ms(self._statement, self._next_word())
        self._options = replace(self._options, slowstart_ms=slowstart_ms)
        self._record_changed(
            f"slowstart: warm_ms = {slowstart_ms:g} for the whole pool, starting at rules.coldFrom"
        )

    def _record_other(self, option: str) -> None:
        """Record an option that has no conversion code, and skip its arguments."""
        location = self._statement.location
        found = find_keyword("server", option)
        if found is not None:
            self._report.record(location, found.disposition, f"{option}: {found.note}")
            del self._words[: found.argument_count]
            return
        self._report.record(location, Disposition.TRAFFIC, f"{option}: not an option that is known here")
        while self._words and not self._is_known(self._words[0]):
            self._words.pop(0)

    @staticmethod
    def _is_known(word: str) -> bool:
        return word in CONVERTED_OPTIONS or find_keyword("server", word) is not None
