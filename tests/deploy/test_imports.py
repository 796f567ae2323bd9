"""Tests that a node, which may have to run in 32 MB, imports no module that only other programs need."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

HEAVY_LIBRARIES = {"click", "grpc", "google", "httpx", "httpcore", "anyio", "aioquic", "tomli_w", "xxhash"}

OTHER_PROGRAMS = (
    "puffindeck_",
    "puffindeck.config.fleet",
    "puffindeck.config.quota",
    "puffindeck.config.residency",
    "puffindeck.client_side",
    "puffindeck.rpc",
    "puffindeck.routing",
    "puffindeck.importer",
    "puffindeck.cli",
)


def imported_by(*modules: str) -> set[str]:
    """Return all modules that a new interpreter has loaded after it imports the given ones."""
    completed = subprocess.run(
        [sys.executable, "-c", f"import sys, {', '.join(modules)}; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parents[2],
    )
    return set(completed.stdout.split())


def test_node_imports_no_module_of_other_programs() -> None:
    imported = imported_by("puffindeck.__main__", "puffindeck.net.node")
    assert not {name.split(".")[0] for name in imported} & HEAVY_LIBRARIES
    assert not {name for name in imported if name.startswith(OTHER_PROGRAMS)}


def test_decision_modules_import_neither_io_nor_libraries() -> None:
    imported = imported_by("puffindeck.client_side", "puffindeck.routing")
    assert not imported & {"socket", "asyncio", "twisted", "time.sleep", "msgspec", "ssl"}
