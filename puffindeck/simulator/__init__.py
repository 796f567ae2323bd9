"""Serves the decision module to a simulator over a binary protocol on standard input and output.

All numbers are little-endian. A frame is one batch: a header, then records, each with a code and its fields.
Each batch is answered by one reply.
"""

from puffindeck.simulator.frames import FrameError
from puffindeck.simulator.session import serve

__all__ = ["FrameError", "serve"]
