"""Known failures: tests that fail because of a known fault, listed with it in KNOWN-RED.txt.

They run like all other tests. If a listed test fails, the run reports it and still succeeds. If it passes,
the run fails, so that the line is removed together with the fix.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
MAX_KNOWN_FAILURES = 3


class KnownFailure(NamedTuple):
    """A line of the list, with a test's id, the cause of its failure, and the issue."""

    test: str
    cause: str
    issue: str


def known_failures(text: str) -> list[KnownFailure]:
    """Parse the list, whose lines are `test | cause | issue`.

    Raises pytest.UsageError for an invalid line, with its number, and for more than MAX_KNOWN_FAILURES tests.
    """
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{KNOWN_RED.name}:{number}: not `test | cause | issue`")
        found.append(KnownFailure(*parts))
    if len(found) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {len(found)} tests, at most {MAX_KNOWN_FAILURES} allowed")
    return found


def _read_known_failures() -> list[KnownFailure]:
    return known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    causes = {known.test: known for known in _read_known_failures()}
    for item in items:
        known = causes.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list at the end of every run."""
    for known in _read_known_failures():
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
