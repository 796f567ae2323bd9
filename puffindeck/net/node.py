"""One real node: its sockets, its list, its end."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory
from twisted.logger import Logger

from puffindeck.config import ConfigError, ConfigUnreadable, Quic
from puffindeck.config import Node as Told
from puffindeck.core.clock import milliseconds
from puffindeck.core.datagram_port import listen_datagrams
from puffindeck.interface import ListUpdateKind, Settings
from puffindeck.net.admin import Admin
from puffindeck.net.client import ClientLine
from puffindeck.net.discovery import Watch
from puffindeck.net.graceful_shutdown import DRAIN, RESTART, UPGRADE, DrainSchedule, GracefulShutdown
from puffindeck.net.joining import Joining
from puffindeck.net.listening import Port, adopt, listen
from puffindeck.net.operator import CALLERS, Operator
from puffindeck.net.succession import Succession

if TYPE_CHECKING:
    pass

log = Logger("puffindeck")

BACKLOG = 1024  # a storm's connections, all within one turn of the reactor
# A connection that has gone silent has to end within 7 s. Clients send a line every 2 s, so the first without
# an answer may come 2 s after; another one has gone unanswered since when it has waited this long.
SWEEP = milliseconds(250)  # how often open connections are looked over
SILENT = milliseconds(3250)
RETRY_AFTER = milliseconds(150)  # when a client refused by a node without room may come again
LARGEST_DATAGRAM = 65535  # bytes
READ_AGAIN = milliseconds(500)  # how soon a file that the system could not read at a reload is tried again
DROPPED = milliseconds(5000)  # how long a class that is dropped is served: its clients learn of it later


class ClientFactory(Factory):
    """Hands each accepted connection its protocol."""

    noisy = False

    def __init__(self, node: Node, listener: str = "listen") -> None:
        self.node, self.listener = node, listener

    def buildProtocol(self, addr: object) -> ClientLine:
        return ClientLine(self.node, self.listener)


class Node(Admin, Succession, Joining):
    """The program's parts, joined."""

    def start(self) -> None:
        """Listen, and ask for the list; readiness comes with the first answer, be it that there is none."""
        host, port = self.told.listen
        if self.told.inherited is None:
            self.port = self._listen(self.told.listen, ClientFactory(self))
        else:
            self._join()
        for name, address in self.told.routing.listeners.items() if self.told.routing else ():
            opened = self._listen(address, ClientFactory(self, name))
            self.more_ports.append(opened)
            log.info(
                "node {node}: listener {name} on {host}:{port}",
                node=self.told.name,
                name=name,
                host=address[0],
                port=opened.getHost().port,
            )
        known = self.told.known
        entries = self.directory.entries(known, self.deadlines.clock.now())
        self.engine.update_endpoints(ListUpdateKind.CACHED, known.rev, entries)
        if self.told.quic is not None:
            self._start_quic(self.told.quic)
        if self.told.operator is not None:
            self._start_operator(self.told.operator)
        if self.fleet is not None:
            self.fleet.start()
        if self.watch is None:
            self._ready()
        else:
            self.watch.start()
        self.deadlines.after(SWEEP, self._sweep)
        log.info(
            "node {name}: listening on {host}:{port}, {count} descriptors",
            name=self.told.name,
            host=host,
            port=port,
            count=self.admission.sockets,
        )

    def _listen(self, address: tuple[str, int], factory: ClientFactory) -> Port:
        """A port for clients. Where descriptors are short, one who asks nothing gives up its own."""
        opened = listen(self.reactor, address, factory, BACKLOG)
        opened.on_blocked = self.admission.free_one
        return opened

    def _hand_over(self) -> None:
        """The newer process is ready: accept nothing more, and leave."""
        log.info("upgrade: a newer process is ready")
        self._stop_accepting()
        self._leave(UPGRADE)

    def _operator(self) -> Operator:
        return Operator(self, self.deadlines)

    def _start_operator(self, address: tuple[str, int]) -> None:
        self._make_folder()  # one that can't be made is tried again
        self._poll()
        self.operator_port = listen(self.reactor, address, self.operator, CALLERS)
        log.info(
            "node {name}: staff's calls on {host}:{port}",
            name=self.told.name,
            host=address[0],
            port=address[1],
        )

    def _start_quic(self, told: Quic) -> None:
        from puffindeck.quic.front import (
            QuicFront,  # its libraries stay out of a node that has no use for them
        )

        self.quic = QuicFront(
            self.reactor,
            told,
            self.engine,
            self.deadlines,
            self.directory,
            lambda: self.leaving is not None,
        )
        host, port = told.listen
        self.quic_port = listen_datagrams(self.reactor, port, self.quic, host, LARGEST_DATAGRAM)
        log.info("node {name}: QUIC on {host}:{port}", name=self.told.name, host=host, port=port)

    def _watch(self, version: int | None) -> Watch:
        assert self.told.discovery is not None
        return Watch(
            self.reactor,
            self.told.discovery,
            self.deadlines,
            self.directory,
            self.engine,
            version,
            self._ready,
            pushed=not self.told.settings.must_watch_endpoints,
        )

    def reload(self, read: Callable[[Told], tuple[Told, list[str]]]) -> None:
        """Take up what has changed in the file. One that can't be used changes nothing."""
        self.deadlines.cancel(self._read_again)
        if self.ended:
            return
        try:
            told, later = read(self.told)
        except ConfigUnreadable as error:
            self._read_again = self.deadlines.after(READ_AGAIN, self.reload, read)
            log.error("reload: tried again, the old settings stay in force till then: {error}", error=error)
            return
        except ConfigError as error:
            log.error("reload: the old settings stay in force: {error}", error=error)
            return
        if later:
            log.warn("reload: these take a restart: {keys}", keys=", ".join(later))
        before, self.told = self.told, told
        if bool(told.settings.evenness) != bool(before.settings.evenness):
            log.warn("reload: settings.evenness is taken up or given up at a restart only")
        if told.settings != before.settings:
            self._retune(told.settings)
        self.admission.limit(told.sockets)
        self._rejoin()
        if told.discovery != before.discovery:
            # another service: its list is asked for whole, as its versions may say nothing of the old one's
            if self.watch is not None:
                self.watch.stop()
            self.watch = self._watch(None)
            self.watch.ask()
        elif told.discovery is None and told.known != before.known:
            entries = self.directory.entries(told.known, self.deadlines.clock.now())
            self.engine.update_endpoints(ListUpdateKind.FULL, told.known.rev, entries)
        host, port = told.discovery or ("none", 0)
        log.info("reload: done, discovery {host}:{port}", host=host, port=port)

    def _retune(self, new: Settings) -> None:
        """Other classes and rules for what comes from now on."""
        if new.zone < len(new.zones):  # the directory's numbers stay, in whatever order zones are named now
            new = replace(new, zone=self.directory.zone(new.zones[new.zone]))
        quic = [self.told.quic.cls] if self.told.quic is not None else []
        self.engine.apply_settings(new, [*self.classes.values(), *quic])
        self.connect_patience = milliseconds(new.connect_timeout_ms)
        numbers = {c.name: i for i, c in enumerate(self.engine.settings.classes)}
        self.named = {c.name for c in new.classes}
        dropped = self.classes.keys() - self.named
        self.classes.update((name, numbers[name]) for name in self.named)
        self.deadlines.after(DROPPED, self._drop_classes)
        log.info(
            "reload: settings taken up; classes {named}; dropped {dropped}",
            named=", ".join(c.name for c in new.classes),
            dropped=", ".join(sorted(dropped)) or "none",
        )

    def _drop_classes(self) -> None:
        self.classes = {name: i for name, i in self.classes.items() if name in self.named}

    def _follow(self) -> None:
        if self.watch is not None:
            self.watch.ask()

    def _ready(self) -> None:
        if not self.ready:
            self.ready = True
            if self.told.inherited is not None and (self.leaving is None or not self.leaving.ends):
                self._follow_up()
                self.port = adopt(self.reactor, self.told.inherited, ClientFactory(self))
                self.port.on_blocked = self.admission.free_one
                self.generation.tell(self.leaving is None)
            log.info("node {name}: ready", name=self.told.name)
            self._tell_waiting()

    def _tell_waiting(self) -> None:
        """Whoever waits to be told whether this node serves is told now."""
        waiting, self._waiting = self._waiting, {}
        for act in waiting:
            act(self.leaving is None)

    def when_ready(self, act: Callable[[bool], None]) -> None:
        """Say it once the node serves; at once that it does not, when it stops or is a lame duck."""
        if self.ready or self.leaving is not None:
            act(self.leaving is None)
        else:
            self._waiting[act] = None

    def crowded(self) -> bool:
        """Are there too few descriptors left for one more client and its host?"""
        return self.admission.full() or self.engine.requests.full()

    def _used(self) -> int:
        """The descriptors of those who are served, and of hosts."""
        flows = len(self.quic.flows) if self.quic is not None else 0
        return len(self.clients) - len(self.admission) + len(self.links) + flows

    def retry_after(self) -> timedelta:
        return RETRY_AFTER

    def _sweep(self) -> None:
        """Find the connections whose host no longer answers: the client is sent to another."""
        self.wall_clock.look()
        now = self.deadlines.clock.now()
        for client in list(self.clients):
            link = client.link
            if link is not None and not link.done and link.waited(now) > SILENT:
                link.read_available()  # this process may have been held up itself
                if link.waited(now) > SILENT:
                    client.silent()
        self.deadlines.after(SWEEP, self._sweep)

    # What staff ask for

    def drain(self) -> None:
        """Send all clients away, and stay. Once it is under way, asking again changes nothing."""
        if self.leaving is None:
            log.info(
                "node {name}: lame duck, {count} to move",
                name=self.told.name,
                count=len(self.engine.established_requests()),
            )
            self.leaving = GracefulShutdown(self, DRAIN, None)
            self._tell_waiting()

    def undrain(self) -> bool:
        """Take clients again. False if it stops for good."""
        if self.leaving is not None:
            if self.leaving.ends:
                return False
            self.leaving.cancel()
            self.leaving, self.shut = None, False
            log.info("node {name}: lame duck no more", name=self.told.name)
        return True

    # The end

    def stop(self) -> None:
        """Answer all, move every standing connection, and go."""
        if self.leaving is not None and self.leaving.ends:
            return
        if self.told.inherited is not None and self._followed():
            self._hand_over()
        else:
            self._leave(RESTART)

    def _leave(self, pace: DrainSchedule) -> None:
        if self.leaving is not None:
            self.leaving.cancel()
        log.info(
            "node {name}: stopping, {count} to move",
            name=self.told.name,
            count=len(self.engine.established_requests()),
        )
        if self.fleet is not None:
            self.fleet.leave()
        longest = milliseconds(max(c.deadline_ms for c in self.told.settings.classes))
        self.leaving = GracefulShutdown(self, pace.before_kill(longest), self._stopped)
        self._tell_waiting()

    def shut_door(self, for_good: bool) -> None:
        """Serve nobody more. The port stays open to the end: who still comes is told to come again.

        A socket that others hold is left to them, with those who wait there.
        """
        self.shut = True
        if for_good and self.told.inherited is not None:
            self._stop_accepting()

    def _stop_accepting(self) -> None:
        for port in self._ports():
            port.shut()

    def _ports(self) -> list[Port]:
        return [port for port in (self.port, *self.more_ports) if port is not None and port.connected]

    def shut_ports(self) -> bool:
        came = sum(port.accept_all() for port in self._ports()) if self.told.inherited is None else 0
        blocked = any(port.blocked for port in self._ports())  # some still wait there
        late = self.leaving is not None and self.leaving.late
        if late or not (came or blocked):
            self._stop_accepting()
        return not (came or blocked)

    def _stopped(self) -> None:
        self.ended = True
        if self.watch is not None:
            self.watch.stop()
        self.generation.end()
        if self.fleet is not None:
            self.fleet.stop()
        log.info("node {name}: stopped", name=self.told.name)
        self.deadlines.after(milliseconds(300 if self.clients else 0), self._end)

    def _end(self) -> None:
        self.deadlines.clear()
        self.reactor.stop()
