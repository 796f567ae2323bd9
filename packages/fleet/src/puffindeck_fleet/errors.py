"""The errors of a member's sockets and files that an operator can resolve."""

from puffindeck_errors import OperatorError


class FleetError(OperatorError):
    """The base class of this package's errors."""

    what = "the fleet can't be joined"


class BindFailed(FleetError):
    """The address for datagrams can't be bound."""

    what = "{address} can't be bound: {reason}."
    cure = "Give {where} an address of this machine that no other process uses."


class FolderUnusable(FleetError):
    """The state file can't be read from or written to the folder."""

    what = "nothing can be kept there: {reason}."
    cure = "Make the folder writable for this process, or leave `fleet.folder` out; the node runs on without it."


class StateUnreadable(FleetError):
    """A state file is damaged, or of another version."""

    what = "the file can't be read: {reason}; it was set aside as {aside}."
    cure = "Nothing has to be done: the member starts as a new one; look at the disk if this comes again."
