"""Connects a node to the other nodes of its fleet. Operators' documentation: docs/fleet-operations.md."""

from puffindeck_fleet.errors import BindFailed, FleetError, FolderUnusable, StateUnreadable
from puffindeck_fleet.gateway import Fleet
from puffindeck_fleet.request_filter import RequestFilter

__all__ = ["BindFailed", "Fleet", "FleetError", "FolderUnusable", "RequestFilter", "StateUnreadable"]
