"""Formats results as Markdown tables, so that they can be copied into the documentation unchanged."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return the rows below their headings. Floats have three decimal places."""

    def text(cell: object) -> str:
        return f"{cell:.3f}" if isinstance(cell, float) else str(cell)

    lines = [headings, ["---"] * len(headings), *([text(cell) for cell in row] for row in rows)]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)
