"""Errors of system calls that say nothing of the other side: a passing shortage of this machine.

From the Linux manual pages accept(2), socket(2), connect(2), recv(2) and send(2).
"""

from __future__ import annotations

import errno
from typing import Any

# no descriptor, memory, port or buffer is left here, or the call was interrupted
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
# of a connection that waits to be accepted, and is taken off the queue with this (accept(2))
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
# of reading or writing on a connection that goes on
TRANSIENT = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})


def errno_of(error: Any) -> int:
    """Return the errno of a socket's error, as the system or Twisted raises it; 0 for none."""
    number = getattr(error, "osError", None) or getattr(error, "errno", None)
    arguments: tuple[Any, ...] = getattr(error, "args", ())
    if number is None and arguments:
        number = arguments[0]
    return number if isinstance(number, int) else 0
