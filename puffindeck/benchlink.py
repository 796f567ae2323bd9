"""The program `python -m puffindeck.benchlink`: the decision module behind the simulator's protocol."""

from __future__ import annotations

import struct
import sys

from puffindeck.simulator import FrameError, serve


def main() -> int:
    """Serve standard input and output until the input ends, and return the exit status.

    Input that can't be read ends it with one line on standard error and status 2.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, struct.error, ValueError) as error:  # ConfigError is a ValueError
        print(f"puffindeck: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
