"""The decision module behind the simulator's binary protocol on standard input and output.

A frame is one batch: a header and records, each a code with its fields, little-endian. Each batch is
answered by one reply.
"""

from puffindeck.simulator.frames import FrameError
from puffindeck.simulator.session import serve

__all__ = ["FrameError", "serve"]
