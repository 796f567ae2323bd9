"""Numbers of clients' keys for the decision module, the same in each node and in each client."""

from puffindeck.hashes import key_number

__all__ = ["key_number"]
