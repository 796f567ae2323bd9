"""The one place where configuration is read, checked and given defaults; errors name the faulty key.

A module a section: `checks` is what they share, `tuning` the decision module's settings, `members` the list
of hosts, `nodefile` a node's own file, `quicfront` its QUIC table, `reload` a file read anew, `client` that
of a client-side plug-in.
"""

from puffindeck.config.checks import ConfigError, ConfigUnreadable, address
from puffindeck.config.members import Members, Target
from puffindeck.config.nodefile import Limits, Node, NodeFile, node
from puffindeck.config.quicfront import Quic, QuicTable, quic
from puffindeck.config.reload import again
from puffindeck.config.tuning import settings, settings_of

__all__ = [
    "ConfigError",
    "ConfigUnreadable",
    "Limits",
    "Members",
    "Node",
    "NodeFile",
    "Quic",
    "QuicTable",
    "Target",
    "address",
    "again",
    "node",
    "quic",
    "settings",
    "settings_of",
]
