"""One real node, from what its environment tells it to SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
from argparse import ArgumentParser
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError
from twisted.logger import FileLogObserver, globalLogBeginner

from puffindeck import config
from puffindeck.core.clock import Clock, milliseconds
from puffindeck.core.reactor_clock import use_monotonic_clock
from puffindeck.net.logs import json_line, line
from puffindeck.net.node import Node

reactor: Any = default_reactor
FIRST_TURN = milliseconds(5)


def main(given: list[str] | None = None) -> int:
    """Run until told to stop. Configuration that can't be used ends it with one line."""
    use_monotonic_clock(reactor)
    arguments = ArgumentParser(prog="puffindeck", description="One real node.")
    arguments.add_argument("--config", default="", metavar="FILE", help="an operator's file, for EDGE_CONFIG")
    chosen = arguments.parse_args(given)
    # Before the file is read: a change of it that is told from here on is not missed. What a handler asks for
    # is done once the reactor runs.
    signal.signal(signal.SIGHUP, lambda number, frame: reactor.callFromThread(lambda: reload()))
    try:
        told = config.node(os.environ, chosen.config)
    except config.ConfigError as error:
        print(f"puffindeck: {error}", file=sys.stderr)
        return 2
    observer: Any = FileLogObserver(sys.stdout, json_line if told.json_logs else line)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    gc.freeze()  # what was loaded stays; the collector need not look at it again
    node = Node(reactor, told, Clock())

    def reload() -> None:
        node.reload(lambda now: config.again(now, os.environ, chosen.config))

    failed = False

    def fail(why: str) -> None:
        nonlocal failed
        print(f"puffindeck: {why}", file=sys.stderr)
        failed = True
        reactor.stop()

    def begin() -> None:
        if node.lifecycle.shutdown is not None:  # told to stop before it had begun
            return
        try:
            node.start()
        except CannotListenError as error:
            fail(str(error))
        except Exception as error:
            where, remedy = getattr(error, "where", ""), getattr(error, "remedy", "")
            if not remedy:  # an error of a fleet says what to do; others are faults
                raise
            fail(f"{where}: {error} {remedy}")

    # Clients may connect, and count their time, from the moment the port is open. So it opens in a later turn
    # of the reactor, when all that a start costs has passed: what waits for a node's first turn is answered
    # late by as long as that took.
    reactor.callLater(FIRST_TURN.total_seconds(), begin)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: reactor.callFromThread(node.stop))
    reactor.run(installSignalHandlers=False)
    return 2 if failed or node.failure else 0


if __name__ == "__main__":
    sys.exit(main())
