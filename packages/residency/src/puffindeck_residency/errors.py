"""Errors about rulesets that operators are told of. Pages list the class names."""

from puffindeck_errors import OperatorError


class ResidencyError(OperatorError):
    """The base of this package's errors."""

    what = "the book of rules can't be kept"


class BooksDiffer(ResidencyError):
    """Two rulesets of one version have different content."""

    what = "{peer} has another book of version {version}; until one is replaced only what both allow is served."
    cure = "Give the right one a higher `residency.version` and reload it at one gateway."


class BookUnreadable(ResidencyError):
    """A ruleset from another member can't be parsed here."""

    what = "the book of version {version} that {peer} has can't be read here: {reason}; ruled services are refused."
    cure = "Bring this gateway to the program version of {peer}, or correct that book."
