"""The program `python -m puffindeck.benchlink`, which serves the decision module to a simulator."""

from __future__ import annotations

import struct
import sys

from puffindeck.simulator import FrameError, serve


def main() -> int:
    """Answer the batches on standard input until it ends, and return the exit status.

    For malformed input, one line is printed on standard error and the status is 2.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, struct.error, ValueError) as error:  # ConfigError is a ValueError
        print(f"puffindeck: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
