"""The client-side plug-in: an endpoint that a Twisted RPC library connects through, on the same core."""

from puffindeck.plugin.endpoint import BalancedEndpoint, Balancing, Refused

__all__ = ["BalancedEndpoint", "Balancing", "Refused"]
