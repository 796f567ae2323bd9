"""The program `python -m puffindeck`: one node, from its configuration to SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
from argparse import ArgumentParser
from collections.abc import Callable, Sequence
from typing import Any, Protocol, runtime_checkable

from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError
from twisted.logger import FileLogObserver, globalLogBeginner

from puffindeck import config
from puffindeck.core.clock import Clock
from puffindeck.core.reactor_clock import use_monotonic_clock
from puffindeck.net.logs import json_line, line
from puffindeck.net.node import Node

reactor: Any = default_reactor
EXIT_FAILURE = 2


@runtime_checkable
class ActionableError(Protocol):
    """An error that says what an operator can do.

    `puffindeck_errors.OperatorError` is one; that package is installed only where a node is in a fleet.
    """

    where: str

    @property
    def remedy(self) -> str:
        """What an operator can do, in one sentence."""


class NodeProcess:
    """This process's node, and its signals: SIGHUP reloads the file, SIGTERM and SIGINT stop the node."""

    _node: Node  # set by `run`: the reactor, which calls all other methods, runs only after that

    def __init__(self, config_file: str) -> None:
        """`config_file` goes before EDGE_CONFIG; empty: none."""
        self._config_file = config_file
        self._start_failed = False

    def read_config(self) -> config.NodeConfig:
        """Read the configuration; from now on SIGHUP reloads it. Raises ConfigError if it can't be used."""
        # The handler comes first, so that no change of the file is missed from the moment that it is read.
        _on_signal(signal.SIGHUP, self._reload)
        return config.load_node_config(os.environ, self._config_file)

    def run(self, node_config: config.NodeConfig) -> int:
        """Run the node until it is stopped; returns the exit status."""
        self._node = Node(reactor, node_config, Clock())
        # Clients may connect, and count their time, from the moment that the port is open. So it opens in a
        # later turn of the reactor: what waits for a node's first turn is answered late by the duration of
        # the whole start. A call that is made within a turn runs in the next one, however long the start
        # has taken; a timer that has run out before the first turn would run within that.
        reactor.callLater(0, reactor.callLater, 0, self._start)
        for number in (signal.SIGTERM, signal.SIGINT):
            _on_signal(number, self._node.stop)
        reactor.run(installSignalHandlers=False)
        return EXIT_FAILURE if self._start_failed or self._node.failure else 0

    def _reload(self) -> None:
        self._node.reload(lambda now: config.reload_node_config(now, os.environ, self._config_file))

    def _start(self) -> None:
        if self._node.lifecycle.shutdown is not None:  # a signal has stopped it before its start
            return
        try:
            self._node.start()
        except CannotListenError as error:
            self._fail(str(error))
        except Exception as error:
            if not isinstance(error, ActionableError):
                raise
            self._fail(f"{error.where}: {error} {error.remedy}")

    def _fail(self, reason: str) -> None:
        _print_error(reason)
        self._start_failed = True
        reactor.stop()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a node until it is stopped; returns the exit status.

    `arguments` are those of the command line, by default this process's own. Configuration that can't be used
    ends the process with one line on standard error and status 2.
    """
    use_monotonic_clock(reactor)
    process = NodeProcess(_config_file(arguments))
    try:
        node_config = process.read_config()
    except config.ConfigError as error:
        _print_error(error)
        return EXIT_FAILURE
    _begin_logging(json_logs=node_config.json_logs)
    gc.freeze()  # what has been loaded stays; the collector need not look at it again
    return process.run(node_config)


def _config_file(arguments: Sequence[str] | None) -> str:
    parser = ArgumentParser(prog="puffindeck", description="One real node.")
    parser.add_argument("--config", default="", metavar="FILE", help="an operator's file, for EDGE_CONFIG")
    return str(parser.parse_args(arguments).config)


def _begin_logging(json_logs: bool) -> None:
    observer: Any = FileLogObserver(sys.stdout, json_line if json_logs else line)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def _on_signal(number: signal.Signals, handler: Callable[[], None]) -> None:
    """Have the reactor call the handler, once it runs."""
    signal.signal(number, lambda signal_number, frame: reactor.callFromThread(handler))


def _print_error(reason: object) -> None:
    print(f"puffindeck: {reason}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
