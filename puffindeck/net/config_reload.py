"""Reloads the configuration file of a running node."""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from puffindeck.config import ConfigError, ConfigUnreadable, NodeConfig
from puffindeck.core.clock import milliseconds
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck.net.lifecycle import Lifecycle

log = Logger("puffindeck")

RETRY_DELAY = milliseconds(500)  # delay after a reload whose file could not be read

# Returns the new settings, and the changed keys that take effect only after a restart. Raises ConfigError.
ReadConfig = Callable[[NodeConfig], tuple[NodeConfig, list[str]]]


class ConfigReload:
    """Rereads and applies the configuration file.

    An invalid file changes nothing; an unreadable one is retried.
    `config` returns the settings in force, `apply` puts new ones into force.
    """

    def __init__(
        self,
        deadlines: TimerQueue,
        lifecycle: Lifecycle,
        config: Callable[[], NodeConfig],
        apply: Callable[[NodeConfig], None],
    ) -> None:
        self._deadlines = deadlines
        self._lifecycle = lifecycle
        self._config = config
        self._apply = apply
        self._retry: Deadline | None = None

    def run(self, read: ReadConfig) -> None:
        """Read the file and apply its changes."""
        self._deadlines.cancel(self._retry)
        if self._lifecycle.has_ended:
            return
        try:
            config, restart_keys = read(self._config())
        except ConfigUnreadable as error:
            self._retry = self._deadlines.after(RETRY_DELAY, self.run, read)
            log.error("reload: tried again, the old settings stay in force till then: {error}", error=error)
            return
        except ConfigError as error:
            log.error("reload: the old settings stay in force: {error}", error=error)
            return
        if restart_keys:
            log.warn("reload: these take a restart: {keys}", keys=", ".join(restart_keys))
        self._apply(config)
        host, port = config.discovery or ("none", 0)
        log.info("reload: done, discovery {host}:{port}", host=host, port=port)
