"""Errors of a member's sockets and files that an operator can resolve."""

from puffindeck_errors import OperatorError


class FleetError(OperatorError):
    """The base class of this package's errors."""

    message_template = "the fleet cannot be joined"


class BindFailed(FleetError):
    """The address for datagrams can't be bound."""

    message_template = "{address} cannot be bound: {reason}."
    remedy_template = "Set {where} to an address of this machine that no other process uses."


class FolderUnusable(FleetError):
    """The state file can't be read from the folder or written to it."""

    message_template = "the state file cannot be read or written: {reason}."
    remedy_template = (
        "Make the folder writable for this process, or omit `fleet.folder`; the node continues without stored state."
    )


class StateUnreadable(FleetError):
    """A state file is corrupt or has another version."""

    message_template = "the content of the state file is invalid: {reason}; the file was set aside as {aside}."
    remedy_template = "No action is needed: the member starts as a new one; check the disk if this error recurs."
