"""Reads a frontend section, which becomes listeners and routes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from puffindeck.importer.acl import ALWAYS, Acls, ConditionGroups, UnsupportedConditionError
from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.keywords import find_keyword
from puffindeck.importer.sections import Section
from puffindeck.importer.statement import Statement
from puffindeck.importer.values import parse_endpoint

KEYWORDS_WITH_ARGUMENTS = ("bind", "acl", "use_backend", "default_backend")


@dataclass(frozen=True, slots=True)
class SwitchingRule:
    """A rule that sends a connection to a backend if any of its condition groups is met."""

    backend: str
    groups: ConditionGroups
    statement: Statement

    def check_backends(self, backend_names: set[str]) -> None:
        """Raise HaproxyImportError if the rule or one of its conditions names an unknown backend."""
        if self.backend not in backend_names:
            raise self.statement.error(f"there is no backend {self.backend}")
        for group in self.groups:
            for condition in group:
                pool = condition.get("pool")
                if pool and pool not in backend_names:
                    raise self.statement.error(f"there is no backend {pool}")


@dataclass(slots=True)
class Frontend:
    """The listen addresses of a frontend or listen section, and the rules that choose a backend."""

    section: Section
    report: ImportReport
    binds: list[str] = field(default_factory=list)  # HOST:PORT
    rules: list[SwitchingRule] = field(default_factory=list)  # from `use_backend`
    default_rule: SwitchingRule | None = None  # from `default_backend`
    acls: Acls = field(default_factory=Acls)

    def read(self, statement: Statement) -> bool:
        """Read a statement about listening or routing. Returns False for any other statement, without effect.

        Raises HaproxyImportError for an invalid statement.
        """
        keyword, *arguments = statement.words
        if keyword in KEYWORDS_WITH_ARGUMENTS and not arguments:
            raise statement.error(f"{keyword}: an argument is missing")
        if keyword == "bind":
            self._read_bind(statement, arguments)
        elif keyword == "acl":
            self._read_acl(statement, arguments)
        elif keyword == "use_backend":
            self._read_use_backend(statement, arguments)
        elif keyword == "default_backend":
            self.default_rule = SwitchingRule(arguments[0], ALWAYS, statement)
            self.report.record(statement.location, Disposition.CARRIED)
        else:
            return False
        return True

    def routes(self, listeners: list[str], is_only: bool, backend_names: set[str]) -> list[dict[str, Any]]:
        """Return the routes of connections to the frontend's listeners, in order of evaluation.

        `is_only` means that no other frontend exists, in which case routes need no condition on the listener.
        Raises HaproxyImportError for a backend that is not in `backend_names`.
        """
        listener_groups: ConditionGroups = ALWAYS if is_only else [[{"on": "listener", "is": listeners}]]
        routes = []
        for rule in self._all_rules(backend_names):
            rule.check_backends(backend_names)
            if not rule.groups:
                continue
            when = [[*listener, *group] for listener in listener_groups for group in rule.groups]
            conditions = {"when": when} if when != [[]] else {}
            routes.append({"pool": rule.backend, **conditions})
        return routes

    def _all_rules(self, backend_names: set[str]) -> list[SwitchingRule]:
        """Return the switching rules, followed by the default rule if there is one."""
        if self.default_rule is not None:
            return [*self.rules, self.default_rule]
        if self.section.kind == "listen" and self.section.name in backend_names:
            statement = Statement(self.section.location, [])
            return [*self.rules, SwitchingRule(self.section.name, ALWAYS, statement)]
        return list(self.rules)

    def _read_bind(self, statement: Statement, arguments: list[str]) -> None:
        addresses, *options = arguments
        for address in addresses.split(","):
            self._read_bind_address(statement, address)
        while options:
            option = options.pop(0)
            found = find_keyword("bind", option)
            if found is None:
                note = f"{option}: not an option that is known here"
                self.report.record(statement.location, Disposition.TRAFFIC, note)
                continue
            self.report.record(statement.location, found.disposition, f"{option}: {found.note}")
            del options[: found.argument_count]

    def _read_bind_address(self, statement: Statement, address: str) -> None:
        has_port_range = "-" in address.rpartition(":")[2]
        endpoint = None if has_port_range else parse_endpoint(statement, address)
        if endpoint is None:
            note = f"{address}: a listener needs exactly one address and port"
            self.report.record(statement.location, Disposition.TRAFFIC, note)
            return
        self.binds.append(endpoint)
        self.report.record(statement.location, Disposition.CARRIED)

    def _read_acl(self, statement: Statement, arguments: list[str]) -> None:
        try:
            self.acls.add(statement, arguments)
        except UnsupportedConditionError as error:
            note = f"{error}; statements that use it are reported"
            self.report.record(statement.location, Disposition.REFUSED, note)
        else:
            self.report.record(statement.location, Disposition.CARRIED)

    def _read_use_backend(self, statement: Statement, arguments: list[str]) -> None:
        backend, *condition = arguments
        if "%[" in backend:
            note = "a backend whose name is computed from the request's data"
            self.report.record(statement.location, Disposition.TRAFFIC, note)
            return
        try:
            groups = self.acls.parse_condition(statement, condition)
        except UnsupportedConditionError as error:
            note = f"{error}: its connections fall through to the next route"
            self.report.record(statement.location, Disposition.TRAFFIC, note)
            return
        self.rules.append(SwitchingRule(backend, groups, statement))
        if groups:
            self.report.record(statement.location, Disposition.CARRIED)
        else:
            self.report.record(statement.location, Disposition.HARMLESS, "the condition is never met")
