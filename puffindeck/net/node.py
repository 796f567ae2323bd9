"""The node: builds its parts, starts them, reloads their settings and shuts them down."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.logger import Logger

from puffindeck.config import NodeConfig, QuicConfig
from puffindeck.core.clock import Clock, milliseconds
from puffindeck.core.datagram_port import DatagramPort, listen_datagrams
from puffindeck.core.engine import Engine
from puffindeck.core.sent_request_ids import SentRequestIds
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import ListUpdateKind, Settings
from puffindeck.net.admin_api import MAX_CALLERS, AdminApi
from puffindeck.net.admission import AdmissionControl
from puffindeck.net.client import ClientFactory
from puffindeck.net.client_listeners import ClientListeners
from puffindeck.net.client_services import ClientServices
from puffindeck.net.config_reload import ConfigReload, ReadConfig
from puffindeck.net.connection_table import ConnectionTable
from puffindeck.net.decision_module import build_decision_module
from puffindeck.net.detachment import Detachment
from puffindeck.net.detachment_store import DetachmentStore
from puffindeck.net.discovery import DiscoveryWatch
from puffindeck.net.fleet_member import FleetMember
from puffindeck.net.graceful_shutdown import RESTART, UPGRADE, DrainSchedule
from puffindeck.net.hot_restart import HotRestart
from puffindeck.net.lifecycle import Lifecycle
from puffindeck.net.listening import Port, listen
from puffindeck.net.logs import RateLimitedLog
from puffindeck.net.process_registry import ProcessRegistry
from puffindeck.net.request_log import RequestLog
from puffindeck.net.served_classes import ServedClasses
from puffindeck.net.shared_id_file import SharedIdFile
from puffindeck.net.silence_monitor import SilenceMonitor
from puffindeck.net.wall_clock import WallClock
from puffindeck.service_discovery.directory import Directory

if TYPE_CHECKING:
    from puffindeck.quic.front import QuicFront

log = Logger("puffindeck")

MAX_DATAGRAM = 65535  # bytes
CLOSE_DELAY = milliseconds(300)  # time for the last connections to close before the reactor stops


class Node:
    """A node of the gateway. Builds and connects the parts; each part owns its state."""

    def __init__(self, reactor: Any, config: NodeConfig, clock: Clock) -> None:
        self.reactor = reactor
        self.config = config
        self.deadlines = TimerQueue(clock, reactor)
        self.directory = Directory(config.settings.zones, config.settings.kinds)
        self.classes = ServedClasses(config.settings.classes, self.deadlines)
        self.connections = ConnectionTable()
        self.sent_ids = SentRequestIds()
        self.admin_port: Port | None = None
        self.quic: QuicFront | None = None
        self.quic_port: DatagramPort | None = None
        self._build_engine()
        self._build_client_side()
        self._build_operations()
        self.watch = self._build_watch(config.file_endpoints.rev) if config.discovery else None

    def _build_engine(self) -> None:
        self.fleet_member = FleetMember(
            self.reactor, self.deadlines, self.directory, lambda: self.config, self.stop
        )
        module = self.fleet_member.wrap(build_decision_module(self.config, self.directory))
        self._request_log = RequestLog(log, self.deadlines, self.directory.name)
        self.engine = Engine(
            module, self.config.settings, self.deadlines, self._poll_discovery, self._request_log
        )
        self.fleet_member.join(self.engine)

    def _build_client_side(self) -> None:
        config = self.config
        reserved = MAX_CALLERS if config.operator else 0
        self.admission = AdmissionControl(config.max_descriptors, reserved, self._descriptors_in_use)
        self.listeners = ClientListeners(
            self.reactor,
            self.admission,
            config.inherited_descriptor,
            lambda listener: ClientFactory(self.client_services, listener),
        )
        self.lifecycle = Lifecycle(config.name, self.engine, self.deadlines, self.connections, self.listeners)
        wall_clock = WallClock()
        self._silence_monitor = SilenceMonitor(self.connections, self.deadlines, wall_clock)
        self.client_services = ClientServices(
            reactor=self.reactor,
            config=lambda: self.config,
            engine=self.engine,
            deadlines=self.deadlines,
            directory=self.directory,
            classes=self.classes,
            connections=self.connections,
            sent_ids=self.sent_ids,
            admission=self.admission,
            lifecycle=self.lifecycle,
            request_log=self._request_log,
            rejected_lines=RateLimitedLog(log, self.deadlines, "client: first line can't be read"),
            wall_clock=wall_clock,
            connect_timeout=milliseconds(config.settings.connect_timeout_ms),
        )

    def _build_operations(self) -> None:
        folder = self.config.state_folder
        errors = RateLimitedLog(log, self.deadlines, "staff: records can't be read")
        self.detachment = Detachment(
            DetachmentStore(folder / "detached"), self.engine, self.directory, self.deadlines, errors
        )
        self.hot_restart = HotRestart(
            ProcessRegistry(folder / "processes"),
            self.engine,
            self.directory,
            self.deadlines,
            self.admission,
            self.lifecycle,
            errors,
            self._hand_over,
        )
        self._config_reload = ConfigReload(
            self.deadlines, self.lifecycle, lambda: self.config, self._apply_config
        )
        self.admin_api = AdminApi(self.lifecycle, self.detachment, self.fleet_member, self.deadlines)

    def _build_watch(self, version: int | None) -> DiscoveryWatch:
        assert self.config.discovery is not None
        return DiscoveryWatch(
            self.reactor,
            self.config.discovery,
            self.deadlines,
            self.directory,
            self.engine,
            version,
            self._on_discovery_answer,
            pushed=not self.config.settings.must_watch_endpoints,
        )

    def _descriptors_in_use(self) -> int:
        """Return the number of descriptors in use by served clients and connections to hosts."""
        flows = len(self.quic.flows) if self.quic is not None else 0
        served = len(self.connections.clients) - len(self.admission)
        return served + len(self.connections.upstreams) + flows

    # Start

    def start(self) -> None:
        """Listen, and request the discovery list; the first answer or failure makes the node ready.

        Raises CannotListenError, or an error of the fleet.
        """
        config = self.config
        if config.inherited_descriptor is None:
            self.listeners.open_main(config.listen)
        else:
            self.hot_restart.join()
            self._share_request_ids()
        self._open_named_listeners()
        entries = self.directory.entries(config.file_endpoints, self.deadlines.clock.now())
        self.engine.update_endpoints(ListUpdateKind.CACHED, config.file_endpoints.rev, entries)
        if config.quic is not None:
            self.start_quic(config.quic)
        if config.operator is not None:
            self._start_admin_api(config.operator)
        self.fleet_member.start()
        if self.watch is None:
            self._on_discovery_answer()
        else:
            self.watch.start()
        self._silence_monitor.start()
        host, port = config.listen
        log.info(
            "node {name}: listening on {host}:{port}, {count} descriptors",
            name=config.name,
            host=host,
            port=port,
            count=self.admission.descriptors,
        )

    def _share_request_ids(self) -> None:
        """Share the ids of sent requests with the other processes of this node."""
        errors = RateLimitedLog(log, self.deadlines, "upgrade: request ids can't be shared")
        self.sent_ids.share(SharedIdFile(self.config.state_folder / "ids", errors))

    def _open_named_listeners(self) -> None:
        for name, address in self.config.routing.listeners.items() if self.config.routing else ():
            port = self.listeners.open_named(name, address)
            log.info(
                "node {node}: listener {name} on {host}:{port}",
                node=self.config.name,
                name=name,
                host=address[0],
                port=port.getHost().port,
            )

    def _start_admin_api(self, address: tuple[str, int]) -> None:
        self.detachment.start()
        self.admin_port = listen(self.reactor, address, self.admin_api, MAX_CALLERS)
        log.info(
            "node {name}: staff's calls on {host}:{port}",
            name=self.config.name,
            host=address[0],
            port=address[1],
        )

    def start_quic(self, quic: QuicConfig) -> None:
        """Open the QUIC front. Raises CannotListenError."""
        from puffindeck.quic.front import QuicFront  # its libraries are imported only if needed

        self.quic = QuicFront(
            self.reactor,
            quic,
            self.engine,
            self.deadlines,
            self.directory,
            self.sent_ids,
            lambda: self.lifecycle.shutdown is not None,
        )
        host, port = quic.listen
        self.lifecycle.fronts.append(self.quic)
        self.quic_port = listen_datagrams(self.reactor, port, self.quic, host, MAX_DATAGRAM)
        log.info("node {name}: QUIC on {host}:{port}", name=self.config.name, host=host, port=port)

    # Discovery

    def _poll_discovery(self) -> None:
        if self.watch is not None:
            self.watch.poll()

    def _on_discovery_answer(self) -> None:
        """Become ready at discovery's first answer or failure."""
        if self.lifecycle.is_ready:
            return
        self.lifecycle.is_ready = True
        if self.listeners.is_inherited and not self.lifecycle.is_stopping:
            self.hot_restart.restore_handover_state()
            self.listeners.adopt_main()
            self.hot_restart.publish_state()
        log.info("node {name}: ready", name=self.config.name)
        self.lifecycle.notify_waiting()

    # Reloads

    def reload(self, read: ReadConfig) -> None:
        """Apply the changes of the configuration file. An invalid file changes nothing."""
        self._config_reload.run(read)

    def _apply_config(self, config: NodeConfig) -> None:
        previous, self.config = self.config, config
        if bool(config.settings.evenness) != bool(previous.settings.evenness):
            log.warn("reload: turning settings.evenness on or off takes a restart")
        if config.settings != previous.settings:
            self._apply_settings(config.settings)
        self.admission.set_descriptor_limit(config.max_descriptors)
        self.fleet_member.reload()
        if config.discovery != previous.discovery:
            # The new service's versions may be unrelated to the old one's, so its whole list is requested.
            if self.watch is not None:
                self.watch.stop()
            self.watch = self._build_watch(None)
            self.watch.poll()
        elif config.discovery is None and config.file_endpoints != previous.file_endpoints:
            entries = self.directory.entries(config.file_endpoints, self.deadlines.clock.now())
            self.engine.update_endpoints(ListUpdateKind.FULL, config.file_endpoints.rev, entries)

    def _apply_settings(self, new: Settings) -> None:
        """Apply new classes and rules to requests that arrive from now on."""
        if new.zone < len(new.zones):  # zones may be reordered, but the directory's numbers stay
            new = replace(new, zone=self.directory.zone(new.zones[new.zone]))
        quic = [self.config.quic.class_number] if self.config.quic is not None else []
        self.engine.apply_settings(new, [*self.classes.numbers.values(), *quic])
        self.client_services.connect_timeout = milliseconds(new.connect_timeout_ms)
        dropped = self.classes.apply(new.classes, self.engine.settings.classes)
        log.info(
            "reload: settings applied; classes {named}; dropped {dropped}",
            named=", ".join(c.name for c in new.classes),
            dropped=", ".join(sorted(dropped)) or "none",
        )

    # Shutdown

    @property
    def failure(self) -> str:
        """Why this process must end with an error; empty if it need not."""
        return self.fleet_member.failure

    def stop(self) -> None:
        """Answer all requests, move every established connection, and end."""
        if self.lifecycle.is_stopping:
            return
        if self.listeners.is_inherited and self.hot_restart.is_superseded():
            self._hand_over()
        else:
            self._shut_down(RESTART)

    def _hand_over(self) -> None:
        """Stop accepting connections and end, because a newer process is ready."""
        log.info("upgrade: a newer process is ready")
        self.listeners.close()
        self._shut_down(UPGRADE)

    def _shut_down(self, schedule: DrainSchedule) -> None:
        self.lifecycle.cancel_shutdown()
        log.info(
            "node {name}: stopping, {count} to move",
            name=self.config.name,
            count=len(self.engine.established_requests()),
        )
        self.fleet_member.leave()
        longest = milliseconds(max(c.deadline_ms for c in self.config.settings.classes))
        self.lifecycle.begin_shutdown(schedule.before_kill(longest), self._on_shut_down)

    def _on_shut_down(self) -> None:
        self.lifecycle.has_ended = True
        if self.watch is not None:
            self.watch.stop()
        self.hot_restart.leave()
        self.fleet_member.stop()
        log.info("node {name}: stopped", name=self.config.name)
        delay = CLOSE_DELAY if self.connections.clients else milliseconds(0)
        self.deadlines.after(delay, self._end)

    def _end(self) -> None:
        self.deadlines.clear()
        self.reactor.stop()
