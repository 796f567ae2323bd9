"""Joins a node to the other nodes of its fleet. docs/fleet-operations.md is the operators' page."""

from puffindeck_fleet.errors import BindFailed, FleetError, FolderUnusable, StateUnreadable
from puffindeck_fleet.gateway import Fleet
from puffindeck_fleet.request_filter import RequestFilter

__all__ = ["BindFailed", "Fleet", "FleetError", "FolderUnusable", "RequestFilter", "StateUnreadable"]
