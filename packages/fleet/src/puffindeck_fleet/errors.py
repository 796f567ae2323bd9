"""Errors of a member's sockets and files that an operator can resolve."""

from puffindeck_errors import OperatorError


class FleetError(OperatorError):
    """The base class of this package's errors."""

    message_template = "the fleet can't be joined"


class BindFailed(FleetError):
    """The address for datagrams can't be bound."""

    message_template = "{address} can't be bound: {reason}."
    remedy_template = "Give {where} an address of this machine that no other process uses."


class FolderUnusable(FleetError):
    """The state file can't be read from the folder or written to it."""

    message_template = "nothing can be kept there: {reason}."
    remedy_template = (
        "Make the folder writable for this process, or leave `fleet.folder` out; the node runs on without it."
    )


class StateUnreadable(FleetError):
    """A state file is corrupt or has another version."""

    message_template = "the file can't be read: {reason}; it was set aside as {aside}."
    remedy_template = "Nothing has to be done: the member starts as a new one; look at the disk if this comes again."
