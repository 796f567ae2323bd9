"""The error of a node process that ends before it is ready."""

from __future__ import annotations

import subprocess
from pathlib import Path

LOG_LINES = 20
"""How many of the last lines of a log an error shows."""


class NodeExitedError(RuntimeError):
    """A node's process ended before it was ready: the last lines of its log say why."""

    def __init__(self, name: str, exit_code: int, log: str) -> None:
        """`exit_code`: as of `subprocess.Popen.returncode`, negative for a signal. `log`: the whole text."""
        self.exit_code = exit_code
        last_lines = "\n".join(log.splitlines()[-LOG_LINES:])
        super().__init__(f"{name} ended with exit code {exit_code} before it was ready; its log ends:\n{last_lines}")


def raise_if_exited(name: str, process: subprocess.Popen[bytes], log: Path) -> None:
    """Raise NodeExitedError if the process has ended. `log` is the file that its output goes to."""
    exit_code = process.poll()
    if exit_code is not None:
        raise NodeExitedError(name, exit_code, log.read_text(errors="replace"))
