"""What can go wrong among members."""

from puffindeck_errors import OperatorError


class MembershipError(OperatorError):
    """The root of this package's errors."""

    message_template = "the fleet's membership failed"


class NameTaken(MembershipError):
    """Another living process has this name, and had it before."""

    message_template = "a living process at {address} had the name before this one."
    remedy_template = (
        "Give one of the two another `name` in its file, or stop the other process, then start this one again."
    )


class PeerMisnamed(MembershipError):
    """Under a peer's address another instance answers."""

    message_template = "at {address} answers {found}."
    remedy_template = "Correct the address of {where}, or that instance's `name`."
