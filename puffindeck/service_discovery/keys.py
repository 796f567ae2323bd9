"""Clients' keys as the decision module's numbers, the same at each node and in each client."""

from puffindeck.hashes import key_number as number

__all__ = ["number"]
