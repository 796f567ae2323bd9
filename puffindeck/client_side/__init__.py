"""Decisions of one among very many small clients, which share nothing but the roster's answers.

They stand on `puffindeck.policy` and change two things: `even` evens out the servers' shares of the ring,
as no client's own counts can, and `admission` lets cold servers fill without a word between the clients. No
I/O, no clock, seeded randomness. docs/design/rpc.md has the ways that were weighed.
"""

from puffindeck.client_side.member import Member
from puffindeck.client_side.ring import EvenBalancer

__all__ = ["EvenBalancer", "Member"]
