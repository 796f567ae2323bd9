"""Assigns numbers to request classes when the settings change."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from puffindeck.interface import ClassSettings


def renumber_classes(
    current: Sequence[ClassSettings], new: Sequence[ClassSettings], used: Collection[int]
) -> tuple[ClassSettings, ...]:
    """Return the classes by number after a change from `current` to `new`.

    A class keeps its number while the settings contain it, or while an open request or connection uses it
    (`used`). A new class gets an unused number, or the next higher one.
    """
    classes = list(current)
    numbers = {rules.name: number for number, rules in enumerate(classes)}
    names = {rules.name for rules in new}
    free = [i for i, rules in enumerate(classes) if rules.name not in names and i not in used]
    for rules in new:
        if rules.name in numbers:
            classes[numbers[rules.name]] = rules
        elif free:
            classes[free.pop(0)] = rules
        else:
            classes.append(rules)
    return tuple(classes)
