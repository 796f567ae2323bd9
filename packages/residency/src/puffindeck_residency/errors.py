"""Errors about rulesets that are reported to operators. docs/fleet-errors.md lists them."""

from puffindeck_errors import OperatorError


class ResidencyError(OperatorError):
    """Base class of this package's errors."""

    message_template = "the rulesets cannot be enforced"


class BooksDiffer(ResidencyError):
    """Two rulesets with the same version have different content. `peer` is the member that sent the other one."""

    message_template = (
        "{peer} has a different ruleset of version {version}; until one is replaced, only what both allow is served."
    )
    remedy_template = "Give the correct ruleset a higher `residency.version` and reload it at one gateway."

    def __init__(self, where: str, *, peer: str, version: int) -> None:
        super().__init__(where, peer=peer, version=version)


class BookUnreadable(ResidencyError):
    """A ruleset received from the member `peer` cannot be parsed."""

    message_template = (
        "the ruleset of version {version} from {peer} cannot be read here: {reason}; requests for services with rules "
        "are rejected."
    )
    remedy_template = "Upgrade this gateway to the program version of {peer}, or correct that ruleset."

    def __init__(self, where: str, *, peer: str, version: int, reason: ValueError) -> None:
        super().__init__(where, peer=peer, version=version, reason=reason)
