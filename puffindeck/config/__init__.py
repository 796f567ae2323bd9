"""Reads and checks configuration and supplies defaults. Each error names the invalid key.

| module | content |
| --- | --- |
| `errors` | the errors |
| `checks`, `durations` | checks and parsers of single values |
| `endpoint_list` | the list of endpoints |
| `policy_settings` | the decision module's settings |
| `routing`, `quic` | the tables of routes and of the QUIC front |
| `fleet`, `quota`, `residency` | the tables of a fleet member, not loaded by other nodes |
| `node_config`, `reload` | a node's whole configuration, and its reload |
| `client_config` | the configuration of a client-side plug-in |
"""

from puffindeck.config.checks import parse_address
from puffindeck.config.endpoint_list import EndpointList, Target
from puffindeck.config.errors import ConfigError, ConfigUnreadable, InvalidValueError, MissingKeyError
from puffindeck.config.node_config import Limits, NodeConfig, NodeFile, load_node_config
from puffindeck.config.policy_settings import decode_settings, parse_settings
from puffindeck.config.quic import QuicConfig, QuicTable, parse_quic
from puffindeck.config.reload import ReloadedConfig, reload_node_config

__all__ = [
    "ConfigError",
    "ConfigUnreadable",
    "EndpointList",
    "InvalidValueError",
    "Limits",
    "MissingKeyError",
    "NodeConfig",
    "NodeFile",
    "QuicConfig",
    "QuicTable",
    "ReloadedConfig",
    "Target",
    "decode_settings",
    "load_node_config",
    "parse_address",
    "parse_quic",
    "parse_settings",
    "reload_node_config",
]
