"""Errors of the membership protocol that an operator has to resolve."""

from puffindeck_errors import OperatorError


class MembershipError(OperatorError):
    """The base class of this package's errors."""

    message_template = "the membership protocol failed"


class NameTaken(MembershipError):
    """Another living process has used this member's name since before this process started."""

    message_template = "a running process at {address} has used the name for longer than this one."
    remedy_template = (
        "Give one of the two another `name` in its file, or stop the other process; then start this one again."
    )


class PeerMisnamed(MembershipError):
    """A member with another name than the configured peer answers at the peer's address."""

    message_template = "the member at {address} has the name {found}."
    remedy_template = "Correct the address of {where}, or that instance's `name`."
