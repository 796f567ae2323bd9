"""Drives a `Membership`: decodes its datagrams, runs its timer and performs its actions."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.logger import Logger

from puffindeck.core.clock import milliseconds, to_ms
from puffindeck.core.timer_queue import Deadline, TimerQueue
from puffindeck_errors import OperatorError, describe
from puffindeck_fleet.config import FleetConfig, MemberIdentity
from puffindeck_fleet.datagram_codec import (
    MAX_DATAGRAM_OCTETS,
    DatagramCodec,
    DropReason,
    EnvelopeTooLong,
    InvalidDatagram,
)
from puffindeck_fleet.datagram_sockets import DatagramSockets
from puffindeck_fleet.incarnation_store import IncarnationStore
from puffindeck_fleet.status import PHASE_NAMES
from puffindeck_membership import (
    Action,
    ConnectionRefused,
    DatagramReceived,
    Event,
    MemberChanged,
    Membership,
    NameInUse,
    NameTaken,
    PayloadReceived,
    Phase,
    ScheduleTimer,
    SendDatagram,
    TimerFired,
)
from puffindeck_messaging import Report

log = Logger("puffindeck")


class MembershipDriver:
    """Runs the membership of one member on its node's reactor and timers.

    `on_payload` is called with each message for another module, `on_name_taken` with the error if this process
    has to end because another process has its name.
    """

    def __init__(
        self,
        reactor: Any,
        timers: TimerQueue,
        config: FleetConfig,
        identity: MemberIdentity,
        on_payload: Callable[[PayloadReceived], None],
        on_name_taken: Callable[[OperatorError], None],
    ) -> None:
        self._timers = timers
        self._fleet_name = config.name
        self._name = identity.name
        self._on_payload = on_payload
        self._on_name_taken = on_name_taken
        self._incarnations = IncarnationStore(config.folder, identity.name, timers)
        self._codec = DatagramCodec(config.name)
        self._sockets = DatagramSockets(reactor, config.bind, self._on_datagram, self._on_refused)
        self._wakeup: Deadline | None = None
        self._is_stopped = False
        self._dropped: Counter[str] = Counter()
        host, port = config.bind
        self.membership = Membership(
            identity.name,
            config.advertise or f"{host}:{port}",
            config.region,
            process_incarnation=identity.process_incarnation,
            peers=config.peers,
            seed=identity.seed,
            incarnation=self._incarnations.load() + 1,
        )

    def start(self) -> None:
        """Open the sockets and contact the other members. Raise BindFailed if the address can't be bound."""
        address = self._sockets.open()
        log.info(
            "fleet {fleet}: {name} at {address}, incarnation {incarnation}",
            fleet=self._fleet_name,
            name=self._name,
            address=address,
            incarnation=self.membership.incarnation,
        )
        self.handle()

    def stop(self) -> None:
        """Close the sockets. Nothing is sent or received afterwards."""
        self._is_stopped = True
        self._timers.cancel(self._wakeup)
        self._incarnations.stop()
        self._sockets.close()

    def handle(self, *events: Event) -> None:
        """Pass events to the membership and perform its actions."""
        if self._is_stopped:
            return
        for action in self.membership.handle(self._now_ms(), events):
            self._perform(action)
        self.save_incarnation()

    def save_incarnation(self) -> None:
        """Store this member's current incarnation."""
        self._incarnations.save(self.membership.incarnation)

    def send(self, name: str, channel: str, data: bytes) -> None:
        """Send a message of another module to a member."""
        if self._is_stopped:
            return
        for datagram in self.membership.send_payload(name, channel, data):
            self._send_datagram(datagram)

    def count_dropped(self, reason: DropReason) -> None:
        """Count a dropped datagram."""
        self._dropped[reason.value] += 1

    def dropped(self) -> dict[str, int]:
        """Return the number of dropped datagrams by reason."""
        return dict(self._dropped + self.membership.dropped)

    def _now_ms(self) -> float:
        return to_ms(self._timers.clock.now())

    # Events

    def _on_datagram(self, data: bytes, source: str) -> None:
        try:
            envelope = self._codec.decode(data)
        except InvalidDatagram as invalid:
            self.count_dropped(invalid.reason)
            return
        self.handle(DatagramReceived(envelope, source))

    def _on_refused(self, name: str) -> None:
        self.handle(ConnectionRefused(name))

    # Actions

    def _perform(self, action: Action) -> None:
        match action:
            case SendDatagram():
                self._send_datagram(action)
            case ScheduleTimer():
                self._schedule_wakeup(action.at_ms)
            case PayloadReceived():
                self._on_payload(action)
            case MemberChanged():
                self._log_change(action)
            case Report():
                log.error("fleet: {error}", error=describe(action.error))
            case NameInUse():
                where = f"fleet {self._fleet_name}: {self._name}"
                self._on_name_taken(NameTaken(where, address=action.address))

    def _send_datagram(self, datagram: SendDatagram) -> None:
        try:
            data = self._codec.encode(datagram.envelope)
        except EnvelopeTooLong as error:
            self.count_dropped(DropReason.TOO_LONG)
            log.warn(
                "fleet: datagram to {name} was not sent: {error}; a datagram has at most {most} octets",
                name=datagram.name,
                error=error,
                most=MAX_DATAGRAM_OCTETS,
            )
            return
        if datagram.probe:
            self._sockets.send_probe(datagram.name, datagram.address, data)
        else:
            self._sockets.send(datagram.address, data)

    def _schedule_wakeup(self, at_ms: float) -> None:
        self._timers.cancel(self._wakeup)
        delay = milliseconds(max(0.0, at_ms - self._now_ms()))
        self._wakeup = self._timers.after(delay, self.handle, TimerFired())

    @staticmethod
    def _log_change(change: MemberChanged) -> None:
        update = change.update
        log.info(
            "fleet: {name} is {state}, incarnation {incarnation}",
            name=update.name,
            state=PHASE_NAMES[Phase(update.phase)],
            incarnation=update.incarnation,
        )
