"""Tables as Markdown, so that a run's figures can be put into a page as they are."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """The rows under their heads; floats with three figures behind the point."""

    def text(cell: object) -> str:
        return f"{cell:.3f}" if isinstance(cell, float) else str(cell)

    lines = [head, ["---"] * len(head), *([text(cell) for cell in row] for row in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
