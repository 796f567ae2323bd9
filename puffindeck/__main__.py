"""The program `python -m puffindeck`, which runs one node until SIGTERM or SIGINT."""

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
    """An error with a remedy for the operator.

    `puffindeck_errors.OperatorError` implements it; that package is installed only on nodes of a fleet.
    """

    where: str

    @property
    def remedy(self) -> str:
        """What an operator can do, in one sentence."""


class NodeProcess:
    """This process's node, and its signals: SIGHUP reloads the file, SIGTERM and SIGINT stop the node."""

    _node: Node  # set by `run`, before the reactor calls any method that uses it

    def __init__(self, config_file: str) -> None:
        """`config_file` takes precedence over EDGE_CONFIG, unless it is empty."""
        self._config_file = config_file
        self._start_failed = False

    def read_config(self) -> config.NodeConfig:
        """Read the configuration, which SIGHUP reloads from now on. Raises ConfigError if it is invalid."""
        # The handler is installed first, so that no change after the read is missed.
        _on_signal(signal.SIGHUP, self._reload)
        return config.load_node_config(os.environ, self._config_file)

    def run(self, node_config: config.NodeConfig) -> int:
        """Run the node until it is stopped, and return the exit status."""
        self._node = Node(reactor, node_config, Clock())
        # Clients can connect as soon as the port is open, and their deadlines run from then on. A request
        # that waits for the reactor's first iteration is answered late by the duration of the whole start, so
        # the port opens in a later iteration. A call scheduled within an iteration runs in the next one,
        # however long the start took; a timer that expired before the first iteration would run in that one.
        reactor.callLater(0, reactor.callLater, 0, self._start)
        for number in (signal.SIGTERM, signal.SIGINT):
            _on_signal(number, self._node.stop)
        reactor.run(installSignalHandlers=False)
        return EXIT_FAILURE if self._start_failed or self._node.failure else 0

    def _reload(self) -> None:
        self._node.reload(lambda now: config.reload_node_config(now, os.environ, self._config_file))

    def _start(self) -> None:
        if self._node.lifecycle.shutdown is not None:  # a signal stopped the node before its start
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
    """Run a node until it is stopped, and return the exit status.

    `arguments` are the command line's, by default those of this process. With an invalid configuration, one
    line is printed on standard error and the status is 2.
    """
    use_monotonic_clock(reactor)
    process = NodeProcess(_config_file(arguments))
    try:
        node_config = process.read_config()
    except config.ConfigError as error:
        _print_error(error)
        return EXIT_FAILURE
    _begin_logging(json_logs=node_config.json_logs)
    gc.freeze()  # loaded modules are permanent, so the collector need not scan them again
    return process.run(node_config)


def _config_file(arguments: Sequence[str] | None) -> str:
    parser = ArgumentParser(prog="puffindeck", description="Run one node.")
    parser.add_argument(
        "--config", default="", metavar="FILE", help="configuration file, used instead of EDGE_CONFIG"
    )
    return str(parser.parse_args(arguments).config)


def _begin_logging(json_logs: bool) -> None:
    observer: Any = FileLogObserver(sys.stdout, json_line if json_logs else line)
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def _on_signal(number: signal.Signals, handler: Callable[[], None]) -> None:
    """Have the reactor call the handler on this signal.

    A signal that arrives before the reactor runs is handled when the reactor starts.
    """
    signal.signal(number, lambda signal_number, frame: reactor.callFromThread(handler))


def _print_error(reason: object) -> None:
    print(f"puffindeck: {reason}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
