"""Reads the sections of HAProxy's configuration and their statements."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from puffindeck.importer import lexer
from puffindeck.importer.conditional_blocks import ConditionalBlocks
from puffindeck.importer.import_report import Disposition, ImportReport
from puffindeck.importer.statement import HaproxyImportError, Statement

PROXY_KINDS = ("frontend", "backend", "listen")
SECTION_KINDS = ("global", "defaults", *PROXY_KINDS)
# Kinds of sections without an equivalent here, each with its note for the report.
REFUSED_SECTIONS = {
    "userlist": "no HTTP here",
    "peers": "nodes share nothing here",
    "resolvers": "names are not looked up here",
    "cache": "no HTTP here",
    "mailers": "concerns only HAProxy's alerts",
    "program": "concerns only how HAProxy's process runs",
    "ring": "concerns only HAProxy's logs",
    "http-errors": "no HTTP here",
    "fcgi-app": "no FastCGI here",
    "log-forward": "concerns only HAProxy's logs",
}


class SourceFile(NamedTuple):
    """The name of a file, for locations, and its text."""

    name: str
    text: str


@dataclass(slots=True)
class Section:
    """A section and the defaults section whose statements it inherits."""

    kind: str
    name: str
    location: str  # FILE:LINE
    statements: list[Statement] = field(default_factory=list)
    defaults: Section | None = None

    def all_statements(self) -> list[Statement]:
        """Return the inherited statements, followed by the section's own, which override them."""
        inherited = self.defaults.all_statements() if self.defaults else []
        return inherited + self.statements


def _unset_variable(line: lexer.Line) -> str:
    """Return "WORD: VARIABLE" for the first word with an unset variable; an empty string if there is none."""
    for word in line.words:
        if word.unset:
            return f"{word.raw}: {word.unset[0]}"
    return ""


def read_statements(file: SourceFile, environment: Mapping[str, str]) -> list[Statement]:
    """Return a statement for each line of a file that has words.

    Raises HaproxyImportError for an invalid line.
    """
    try:
        lines = lexer.read_lines(file.name, file.text, environment)
    except lexer.HaproxySyntaxError as error:
        raise HaproxyImportError(error.location, error.problem) from None
    return [Statement(line.location, line.texts, _unset_variable(line)) for line in lines if line.words]


class _SectionReader:
    """Collects sections from statements, which are read in order."""

    def __init__(self, report: ImportReport, environment: Mapping[str, str]) -> None:
        self.sections: list[Section] = []
        self.blocks = ConditionalBlocks(environment)
        self._report = report
        self._named_defaults: dict[str, Section] = {}
        self._latest_defaults: Section | None = None
        self._current: Section | None = None
        self._refusal = ""  # reason why the current section is refused; empty if it is not

    def read(self, statement: Statement) -> None:
        """Add a statement to its section and to the report."""
        location = statement.location
        self._report.add(location, statement.words)
        if statement.words[0].startswith("."):
            self._report.record(location, Disposition.CARRIED, self.blocks.read(statement))
            return
        if not self.blocks.is_active:
            note = "in a part whose condition is not met"
            self._report.record(location, Disposition.HARMLESS, note)
            return
        if statement.unset_variable:
            raise statement.error(f"{statement.unset_variable} is not set in the environment")
        self._read_active(statement)

    def _read_active(self, statement: Statement) -> None:
        keyword = statement.words[0]
        if keyword in SECTION_KINDS:
            self._begin_section(statement)
        elif keyword in REFUSED_SECTIONS:
            self._current = None
            self._refusal = REFUSED_SECTIONS[keyword]
            self._report.record(statement.location, Disposition.REFUSED, self._refusal)
        elif self._current is not None:
            self._current.statements.append(statement)
        elif self._refusal:
            self._report.record(statement.location, Disposition.REFUSED, self._refusal)
        else:
            raise statement.error(f"{keyword!r} is not in a known section")

    def _begin_section(self, statement: Statement) -> None:
        kind, *arguments = statement.words
        name = arguments[0] if arguments else ""
        self._check_name(statement, kind, name)
        defaults = self._defaults_of(statement, kind, arguments)
        section = Section(kind, name, statement.location, defaults=defaults)
        self._current = section
        self._refusal = ""
        self.sections.append(section)
        if kind == "defaults":
            self._latest_defaults = section
            if name:
                self._named_defaults[name] = section

    def _check_name(self, statement: Statement, kind: str, name: str) -> None:
        if not name and kind in PROXY_KINDS:
            raise statement.error(f"{kind} has no name")
        if not name or kind == "defaults":
            return
        if any(section.kind == kind and section.name == name for section in self.sections):
            raise statement.error(f"{kind} {name} is already defined")

    def _defaults_of(self, statement: Statement, kind: str, arguments: list[str]) -> Section | None:
        if "from" not in arguments[1:]:
            return self._latest_defaults if kind in PROXY_KINDS else None
        position = arguments.index("from") + 1
        if position >= len(arguments) or arguments[position] not in self._named_defaults:
            raise statement.error("from must name an earlier defaults section")
        return self._named_defaults[arguments[position]]


def read_sections(
    files: Iterable[SourceFile], report: ImportReport, environment: Mapping[str, str]
) -> list[Section]:
    """Read the sections of files in order, each with the defaults section that applies to it.

    All statements are added to the report. Raises HaproxyImportError for invalid input.
    """
    reader = _SectionReader(report, environment)
    last_file = ""
    for file in files:
        last_file = file.name
        for statement in read_statements(file, environment):
            reader.read(statement)
    reader.blocks.end(last_file)
    return reader.sections
