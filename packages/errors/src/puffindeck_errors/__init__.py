"""Errors that say what happened, where, and what an operator can do."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """The base of all errors that an operator can mend.

    A subclass gives two templates for `str.format`: `message_template` says what happened and `remedy_template`
    what to do. `{where}` in them stands for the place and the names of `details` for those values; a template that
    names a value that is not given raises KeyError. Subclasses declare their details as keyword arguments of
    their own constructor.
    """

    message_template: ClassVar[str] = "something failed"
    remedy_template: ClassVar[str] = "See the log lines before this one."

    def __init__(self, where: str, **details: object) -> None:
        """`where` is a file, a key of one, or the name of a peer."""
        self.where = where
        self.details = details
        super().__init__(self.message_template.format(where=where, **details))

    @property
    def remedy(self) -> str:
        """What an operator can do, in one sentence."""
        return self.remedy_template.format(where=self.where, **self.details)


def describe(error: OperatorError) -> str:
    """The error as one line `KIND: WHERE: what happened. What to do.`, for a log or an operators' call."""
    return f"{type(error).__name__}: {error.where}: {error} {error.remedy}"


def subclass_tree(root: type[OperatorError]) -> list[type[OperatorError]]:
    """An error class and all its subclasses, depth first, siblings by name."""
    found = [root]
    for kind in sorted(root.__subclasses__(), key=lambda kind: kind.__name__):
        found += subclass_tree(kind)
    return found
