"""Converts HAProxy's configuration to an operator's file, with a report on each statement."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from puffindeck.importer.backend import SERVER_TIMEOUTS, Backend
from puffindeck.importer.frontend import Frontend
from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.keywords import record_keyword
from puffindeck.importer.operator_file import build_operator_file
from puffindeck.importer.sections import PROXY_KINDS, Section, SourceFile, read_sections
from puffindeck.importer.server_state_file import ServerKey, ServerState, read_server_states
from puffindeck.importer.statement import HaproxyImportError, Statement
from puffindeck.importer.values import parse_integer

__all__ = ["HaproxyImport", "HaproxyImportError", "SourceFile", "convert", "convert_files"]

BACKEND_KEYWORDS = {
    "server",
    "server-template",
    "default-server",
    "balance",
    "hash-type",
    "hash-balance-factor",
    "retries",
    "retry-on",
    "fullconn",
    "timeout",
}
MAX_GLOBAL_MAXCONN = 1 << 20
DESCRIPTORS_PER_CONNECTION = 2
RESERVED_DESCRIPTORS = 64


class HaproxyImport(NamedTuple):
    """The result of an import."""

    table: dict[str, Any]  # content of the operator's file
    report: ImportReport


class _Selection(NamedTuple):
    """Proxy sections, divided into those that are imported and those that are not."""

    selected: list[Section]
    left_out: list[Section]


class _Proxy:
    """A proxy section that is imported as a frontend, as a backend or as both (`listen`)."""

    def __init__(self, section: Section, report: ImportReport, states: dict[ServerKey, ServerState]) -> None:
        self.section = section
        self.frontend = Frontend(section, report) if section.kind in ("frontend", "listen") else None
        self.backend = Backend(section, report, states) if section.kind in ("backend", "listen") else None
        self._report = report
        report.record(section.location, Disposition.CARRIED)
        for statement in section.all_statements():
            self._read(statement)

    def _read(self, statement: Statement) -> None:
        if self.backend is not None and self.backend.read(statement):
            return
        if self.frontend is not None and self.frontend.read(statement):
            return
        keyword, *arguments = statement.words
        if keyword == "mode":
            self._read_mode(statement, arguments)
        elif keyword == "default_backend" and self.section.kind == "backend":
            self._report.record(statement.location, Disposition.HARMLESS, "for frontends")
        elif self._is_for_backends(keyword, arguments):
            note = "for backends" if statement in self.section.statements else ""
            self._report.record(statement.location, Disposition.HARMLESS, note)
        elif keyword == "bind" and self.frontend is None:
            self._report.record(statement.location, Disposition.REFUSED, "a backend does not listen")
        else:
            record_keyword(self._report, "proxy", statement)

    def _is_for_backends(self, keyword: str, arguments: list[str]) -> bool:
        """Return whether this is a frontend and the statement applies to backends only."""
        if self.backend is not None or keyword not in BACKEND_KEYWORDS:
            return False
        return keyword != "timeout" or arguments[:1] in [[kind] for kind in SERVER_TIMEOUTS]

    def _read_mode(self, statement: Statement, arguments: list[str]) -> None:
        mode = arguments[0] if arguments else ""
        if mode == "tcp":
            self._report.record(statement.location, Disposition.CARRIED)
            return
        note = f"no mode {mode} here"
        if mode == "http":
            note = "no HTTP here: connections are forwarded unchanged"
        self._report.record(statement.location, Disposition.TRAFFIC, note)


def convert(
    file: str, text: str, backend: str = "", environment: Mapping[str, str] | None = None
) -> HaproxyImport:
    """Import a single file; see `convert_files`."""
    return convert_files([SourceFile(file, text)], backend, environment)


def convert_files(
    files: list[SourceFile],
    backend: str = "",
    environment: Mapping[str, str] | None = None,
    server_states: SourceFile | None = None,
) -> HaproxyImport:
    """Import files as one configuration, in the order given.

    `backend` selects one backend to import, with its frontends; an empty string selects all. `environment`
    maps the variables that files may use in weak quotes to their values. `server_states` is a file of server
    states, as `show servers state` writes it.

    Raises HaproxyImportError, with file and line, for input that cannot be imported.
    """
    report = ImportReport()
    sections = read_sections(files, report, environment or {})
    states = read_server_states(server_states.name, server_states.text) if server_states else {}
    selection = _select_proxies(sections, backend, files[0].name)
    _record_left_out(selection.left_out, report)
    proxies = [_Proxy(section, report, states) for section in selection.selected]
    descriptor_limit = _read_global_sections(sections, report)
    _check_no_unused_state(states)
    _record_empty_backends(proxies, report)
    backends = [proxy.backend for proxy in proxies if proxy.backend is not None and proxy.backend.servers]
    if not backends:
        raise _no_backend_error(sections, files[0].name)
    _record_unhashed_backends(backends, report)
    table = build_operator_file(_used_frontends(proxies), backends, descriptor_limit, report)
    return HaproxyImport(table, report)


def _select_proxies(sections: list[Section], backend_name: str, file: str) -> _Selection:
    proxies = [section for section in sections if section.kind in PROXY_KINDS]
    if not backend_name:
        return _Selection(proxies, [])
    backend = next((s for s in proxies if s.name == backend_name and s.kind != "frontend"), None)
    if backend is None:
        raise HaproxyImportError(file, f"there is no backend {backend_name}")
    selected = [s for s in proxies if s is backend or _is_frontend_of(s, backend_name)]
    return _Selection(selected, [section for section in proxies if section not in selected])


def _is_frontend_of(section: Section, backend_name: str) -> bool:
    if section.kind != "frontend":
        return False
    wanted = ["default_backend", backend_name]
    return any(statement.words == wanted for statement in section.all_statements())


def _record_left_out(sections: list[Section], report: ImportReport) -> None:
    for section in sections:
        report.record(section.location, Disposition.TRAFFIC, "this section is not imported")
        note = f"{section.kind} {section.name} is not imported"
        for statement in section.statements:
            report.record(statement.location, Disposition.REFUSED, note)


def _read_global_sections(sections: list[Section], report: ImportReport) -> int:
    """Record `global` and `defaults` sections. Returns the limit of descriptors, or 0 if none is set."""
    descriptor_limit = 0
    for section in sections:
        if section.kind == "global":
            report.record(section.location, Disposition.CARRIED)
            descriptor_limit = _read_global(section, report) or descriptor_limit
        elif section.kind == "defaults":
            report.record(section.location, Disposition.CARRIED)
            _record_unused_defaults(section, report)
    return descriptor_limit


def _read_global(section: Section, report: ImportReport) -> int:
    descriptor_limit = 0
    for statement in section.statements:
        keyword, *arguments = statement.words
        if keyword != "maxconn" or not arguments:
            record_keyword(report, "global", statement)
            continue
        maxconn = parse_integer(statement, arguments[0], 1, MAX_GLOBAL_MAXCONN)
        descriptor_limit = DESCRIPTORS_PER_CONNECTION * maxconn + RESERVED_DESCRIPTORS
        note = f"limits.sockets = {descriptor_limit}: two descriptors per connection, plus 64"
        report.record(statement.location, Disposition.CHANGED, note)
    return descriptor_limit


def _record_unused_defaults(section: Section, report: ImportReport) -> None:
    note = "no imported section uses these defaults"
    for statement in section.statements:
        if report.results[statement.location].disposition is None:
            report.record(statement.location, Disposition.HARMLESS, note)


def _check_no_unused_state(states: dict[ServerKey, ServerState]) -> None:
    """Raise HaproxyImportError for a state whose server is not in the configuration."""
    for key, state in states.items():
        problem = f"there is no server {key.backend}/{key.server} in the configuration"
        raise HaproxyImportError(state.location, problem)


def _record_empty_backends(proxies: list[_Proxy], report: ImportReport) -> None:
    for proxy in proxies:
        if proxy.section.kind == "backend" and proxy.backend is not None and not proxy.backend.servers:
            note = "none of its servers can be imported"
            report.record(proxy.section.location, Disposition.TRAFFIC, note)


def _no_backend_error(sections: list[Section], file: str) -> HaproxyImportError:
    locations = [section.location for section in sections if section.kind in ("backend", "listen")]
    location = locations[-1] if locations else file
    return HaproxyImportError(location, "no backend has a server that can be imported")


def _record_unhashed_backends(backends: list[Backend], report: ImportReport) -> None:
    for backend in backends:
        if not (backend.is_hashed and backend.is_consistent):
            note = "HAProxy does not place by a consistent hash in this backend; it is always used here"
            report.record(backend.section.location, Disposition.CHANGED, note)


def _used_frontends(proxies: list[_Proxy]) -> list[Frontend]:
    frontends = [proxy.frontend for proxy in proxies if proxy.frontend is not None]
    return [frontend for frontend in frontends if frontend.binds or frontend.default_rule is not None]
