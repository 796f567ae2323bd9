"""What a node loads: nothing that only clients' plug-ins need, as it has 32 MB on some days."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

HEAVY = {"click", "grpc", "google", "httpx", "httpcore", "anyio", "aioquic", "tomli_w", "xxhash"}

APART = (
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


def loaded(*modules: str) -> set[str]:
    """What a fresh interpreter has loaded after these."""
    done = subprocess.run(
        [sys.executable, "-c", f"import sys, {', '.join(modules)}; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).parents[2],
    )
    return set(done.stdout.split())


def test_a_node_loads_nothing_of_the_plug_ins() -> None:
    found = loaded("puffindeck.__main__", "puffindeck.net.node")
    assert not {name.split(".")[0] for name in found} & HEAVY
    assert not {name for name in found if name.startswith(APART)}


def test_decisions_load_neither_io_nor_a_library() -> None:
    found = loaded("puffindeck.client_side", "puffindeck.routing")
    assert not found & {"socket", "asyncio", "twisted", "time.sleep", "msgspec", "ssl"}
