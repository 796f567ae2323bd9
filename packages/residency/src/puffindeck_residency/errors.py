"""Errors about rulesets that are reported to operators. docs/fleet-errors.md lists them."""

from puffindeck_errors import OperatorError


class ResidencyError(OperatorError):
    """Base class of this package's errors."""

    message_template = "the rulesets can't be kept"


class BooksDiffer(ResidencyError):
    """Two rulesets with the same version have different content. `peer` is the member that sent the other one."""

    message_template = (
        "{peer} has another book of version {version}; until one is replaced only what both allow is served."
    )
    remedy_template = "Give the right one a higher `residency.version` and reload it at one gateway."

    def __init__(self, where: str, *, peer: str, version: int) -> None:
        super().__init__(where, peer=peer, version=version)


class BookUnreadable(ResidencyError):
    """A ruleset received from the member `peer` cannot be parsed."""

    message_template = (
        "the book of version {version} that {peer} has can't be read here: {reason}; ruled services are refused."
    )
    remedy_template = "Bring this gateway to the program version of {peer}, or correct that book."

    def __init__(self, where: str, *, peer: str, version: int, reason: ValueError) -> None:
        super().__init__(where, peer=peer, version=version, reason=reason)
