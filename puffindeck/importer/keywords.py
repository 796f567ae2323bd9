"""The table of keywords: what becomes of those that the importer does nothing of its own with.

It is data, in `keywords.toml` beside this file.
"""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from typing import NamedTuple

import msgspec


class Fate(NamedTuple):
    """What becomes of a keyword."""

    verdict: str  # harmless, changed, refused or traffic
    says: str
    words: int = 0  # how many words follow it, among a server's options


@cache
def table() -> dict[str, dict[str, Fate]]:
    """By place (`global`, `proxy`, `server`, `bind`) and name; a name may end in *."""
    text = files("puffindeck.importer").joinpath("keywords.toml").read_bytes()
    read = msgspec.toml.decode(text, type=dict[str, dict[str, list[str | int]]])
    return {
        place: {
            name: Fate(str(fate[0]), str(fate[1]), int(fate[2]) if len(fate) > 2 else 0)
            for name, fate in names.items()
        }
        for place, names in read.items()
    }


@cache
def fate(place: str, *words: str) -> Fate | None:
    """What becomes of a statement that begins with these words; None if it is not known."""
    names = table()[place]
    for said in (" ".join(words[:2]), words[0]):
        if said in names:
            return names[said]
        fits = [name for name in names if name.endswith("*") and said.startswith(name[:-1])]
        if fits:
            return names[max(fits, key=len)]
    return None
