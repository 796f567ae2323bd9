"""The error of a node process that ends before it is ready."""

from __future__ import annotations

import subprocess
from pathlib import Path

LOG_LINES = 20
"""Number of log lines, counted from the end, that the error message contains."""


class NodeExitedError(RuntimeError):
    """A node's process ended before it was ready. The message contains the last lines of the process's log."""

    def __init__(self, name: str, exit_code: int, log: str) -> None:
        """`exit_code` is the value of `subprocess.Popen.returncode`, negative for a signal. `log` is the whole log."""
        self.exit_code = exit_code
        last_lines = "\n".join(log.splitlines()[-LOG_LINES:])
        super().__init__(f"{name} ended with exit code {exit_code} before it was ready; its log ends:\n{last_lines}")


def raise_if_exited(name: str, process: subprocess.Popen[bytes], log: Path) -> None:
    """Raise NodeExitedError if the process has ended. `log` is the file that the process writes its output to."""
    exit_code = process.poll()
    if exit_code is not None:
        raise NodeExitedError(name, exit_code, log.read_text(errors="replace"))
