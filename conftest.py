"""Known failures: tests that fail for a real fault and may land, listed in KNOWN-RED.txt with their cause.

They run like all others. A failure of one is printed and does not fail the run; a pass of one does, so that
it is removed from the list with its fix.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
MAX_KNOWN_FAILURES = 3


class KnownFailure(NamedTuple):
    """A line of the list: a test's id, the cause of its failure, and the issue."""

    test: str
    cause: str
    issue: str


def known_failures(text: str) -> list[KnownFailure]:
    """Parse the list, lines of `test | cause | issue`. Raises pytest.UsageError, naming the line."""
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


def _read() -> list[KnownFailure]:
    return known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    causes = {known.test: known for known in _read()}
    for item in items:
        known = causes.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list with every run."""
    for known in _read():
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
