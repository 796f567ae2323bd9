"""Errors of system calls that are caused by this machine and not by the remote host.

The errors are listed in the Linux manual pages accept(2), socket(2), connect(2), recv(2) and send(2).
"""

from __future__ import annotations

import errno
from typing import Any

# This machine has no descriptor, memory, port, buffer or network available, or the call was interrupted.
NO_RESOURCE = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    }
)
# Errors of accept(2) that remove the failed connection from the queue of pending connections.
CONNECTION_GONE = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPERM,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.ETIMEDOUT,
    }
)
# Errors of reading or writing after which the connection remains usable.
TRANSIENT = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})


def errno_of(error: Any) -> int:
    """Return the errno of a socket error that the system or Twisted raised; 0 if it has none."""
    number = getattr(error, "osError", None) or getattr(error, "errno", None)
    arguments: tuple[Any, ...] = getattr(error, "args", ())
    if number is None and arguments:
        number = arguments[0]
    return number if isinstance(number, int) else 0
