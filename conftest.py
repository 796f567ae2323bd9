"""Known failures: tests that fail for a real fault and may land, listed in KNOWN-RED.txt with their cause.

They run as all others. One that fails is printed and passed over; one that passes fails the run, so that it
is taken off the list with its fix.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

LIST = Path(__file__).with_name("KNOWN-RED.txt")
MOST = 3


class KnownFailure(NamedTuple):
    """A line of the list."""

    test: str
    cause: str
    issue: str


def known_failures(text: str) -> list[KnownFailure]:
    """The lines of the list, `test | cause | issue`. Raises pytest.UsageError, naming the line."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{LIST.name}:{number}: not `test | cause | issue`")
        found.append(KnownFailure(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{LIST.name}: {len(found)} tests, at most {MOST} may stand there")
    return found


def _read() -> list[KnownFailure]:
    return known_failures(LIST.read_text()) if LIST.exists() else []


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests."""
    causes = {known.test: known for known in _read()}
    for item in items:
        known = causes.get(item.nodeid)
        if known is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{known.cause} ({known.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list with every run."""
    for known in _read():
        terminalreporter.write_line(f"known red: {known.test}: {known.cause} ({known.issue})")
