"""Errors that say what happened, where, and what an operator can do."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """The base class of all errors that an operator can resolve.

    A subclass defines two templates for `str.format`: `message_template` describes what happened and
    `remedy_template` what to do. The templates may contain `{where}` and the names of `details`. The
    constructor and `remedy` raise KeyError if a name in their template is missing from `details`. A subclass
    can declare its details as keyword arguments of its own constructor.
    """

    message_template: ClassVar[str] = "something failed"
    remedy_template: ClassVar[str] = "See the log lines before this one."

    def __init__(self, where: str, **details: object) -> None:
        """Create an error at `where`, which is a file, a key in a file, or the name of a peer."""
        self.where = where
        self.details = details
        super().__init__(self.message_template.format(where=where, **details))

    @property
    def remedy(self) -> str:
        """A sentence that says what an operator can do."""
        return self.remedy_template.format(where=self.where, **self.details)


def describe(error: OperatorError) -> str:
    """Return the error as one line `KIND: WHERE: what happened. What to do.`, for a log or a status."""
    return f"{type(error).__name__}: {error.where}: {error} {error.remedy}"


def subclass_tree(root: type[OperatorError]) -> list[type[OperatorError]]:
    """Return an error class and all its subclasses, depth first, with siblings sorted by name."""
    classes = [root]
    for child in sorted(root.__subclasses__(), key=lambda child: child.__name__):
        classes += subclass_tree(child)
    return classes
