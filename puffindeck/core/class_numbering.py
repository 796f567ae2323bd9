"""The numbers of request classes when the settings change."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from puffindeck.interface import ClassSettings


def renumber_classes(
    current: Sequence[ClassSettings], named: Sequence[ClassSettings], used: Collection[int]
) -> tuple[ClassSettings, ...]:
    """Return the classes by number, after a change from `current` to `named`.

    A class keeps its number while it is named, or while something open uses it (`used`). A new class takes a
    number that is free, or the next one.
    """
    places = list(current)
    numbers = {rules.name: number for number, rules in enumerate(places)}
    names = {rules.name for rules in named}
    free = [i for i, rules in enumerate(places) if rules.name not in names and i not in used]
    for rules in named:
        if rules.name in numbers:
            places[numbers[rules.name]] = rules
        elif free:
            places[free.pop(0)] = rules
        else:
            places.append(rules)
    return tuple(places)
