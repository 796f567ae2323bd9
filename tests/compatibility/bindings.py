"""Adapters from the compatibility tests to the current names of the code under test."""

from __future__ import annotations

import io
import os
from collections.abc import Iterable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec

import puffindeck_membership.messages as membership_messages
import puffindeck_quota.messages as quota_messages
import puffindeck_residency.messages as residency_messages
from puffindeck import simulator
from puffindeck.config.fleet import parse_fleet_member
from puffindeck.core.timer_queue import TimerQueue
from puffindeck.interface import Settings
from puffindeck.net.detachment_store import DetachmentStore
from puffindeck.net.process_registry import ProcessRegistry
from puffindeck_fleet.datagram_codec import DatagramCodec
from puffindeck_fleet.gateway import Fleet
from puffindeck_fleet.request_filter import RequestFilter
from puffindeck_fleet.state_file import MemberState, StateFile
from puffindeck_quota import Quota
from puffindeck_residency import RulesetStore


def _by_tag(module: Any) -> dict[int, type[msgspec.Struct]]:
    """Return the message classes of a module by their numbers on the wire."""
    structs = [
        kind for kind in vars(module).values() if isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    ]
    return {
        kind.__struct_config__.tag: kind for kind in structs if isinstance(kind.__struct_config__.tag, int)
    }


# Fleet datagrams

MEMBERSHIP_MESSAGES = _by_tag(membership_messages)
QUOTA_MESSAGES = _by_tag(quota_messages)
RESIDENCY_MESSAGES = _by_tag(residency_messages)


def member_update(*fields: Any) -> Any:
    """Return a member's state in a datagram: name, phase, incarnation, process, address, region."""
    return membership_messages.MemberUpdate(*fields)


def datagram(fleet: str, *fields: Any) -> bytes:
    """Encode a datagram: sender, process, incarnation, number, receiver, time in ms, body, member updates."""
    return DatagramCodec(fleet).encode(membership_messages.Envelope(*fields))


def read_datagram(fleet: str, data: bytes) -> tuple[Any, ...]:
    """Decode a datagram, and return its fields."""
    envelope = DatagramCodec(fleet).decode(data)
    return tuple(getattr(envelope, field) for field in envelope.__struct_fields__)


def quota_allocation(members: list[tuple[str, int, str]], amounts: dict[str, int]) -> Any:
    """Return an allocation of permits to members for one epoch."""
    receivers = [quota_messages.AllocationMember(*member) for member in members]
    return quota_messages.Allocation(receivers, amounts)


def encode_quota(message: Any) -> bytes:
    """Encode a quota message between two gateways."""
    return quota_messages.ENCODER.encode(message)


def decode_quota(data: bytes) -> Any:
    """Decode a quota message."""
    return quota_messages.DECODER.decode(data)


def encode_residency(message: Any) -> bytes:
    """Encode a residency message between two gateways."""
    return residency_messages.ENCODER.encode(message)


def decode_residency(data: bytes) -> Any:
    """Decode a residency message."""
    return residency_messages.DECODER.decode(data)


# Stored files


def write_member_state(folder: Path, name: str, incarnation: int) -> None:
    """Store a member's incarnation."""
    StateFile(folder, name).write(MemberState(name, incarnation))


def read_member_state(folder: Path, name: str) -> tuple[str, int] | None:
    """Return the stored name and incarnation; None if there are none."""
    state = StateFile(folder, name).read()
    return (state.name, state.incarnation) if state is not None else None


def mark_detached(folder: Path, host: str, detached: bool) -> None:
    """Store whether a host is detached."""
    records = DetachmentStore(folder)
    records.open()
    if detached:
        records.put(host)
    else:
        records.drop(host)


def detached_hosts(folder: Path) -> set[str]:
    """Return the hosts that are stored as detached."""
    return DetachmentStore(folder).read()


class UpgradeProcess:
    """This process's entry in the registry of processes that share the clients' socket in an upgrade."""

    def __init__(self, folder: Path) -> None:
        self._registry = ProcessRegistry(folder)
        self._registry.register()
        self.file_name = self._registry.name

    def publish(self, ready: bool) -> None:
        """Publish whether this process is ready."""
        self._registry.publish_state(ready)

    def others(self) -> list[tuple[bool, bool, int]]:
        """Return for each other process whether it is newer and ready, and its number of open descriptors."""
        return [(other.is_newer, other.is_ready, other.descriptors) for other in self._registry.siblings()]

    def write_load_limits(self, limits: dict[str, float | None], now_ms: float) -> None:
        """Store the observed load limit of each host."""
        self._registry.write_handover_state(limits, now_ms)

    def read_load_limits(self, now_ms: float) -> dict[str, float | None]:
        """Return the load limits that an earlier process has stored."""
        return self._registry.read_handover_state(now_ms)

    def end(self) -> None:
        """Remove this process from the registry."""
        self._registry.unregister()


def open_descriptors() -> int:
    """Return the number of open descriptors of this process."""
    return len(os.listdir("/dev/fd"))


# Operators' calls


class FixedClock:
    """A clock that always returns the same time."""

    def now(self) -> Any:
        """Return the fixed time, in the type of the node's clock."""
        from puffindeck.core.clock import milliseconds

        return milliseconds(1_000_000_500.0)


def operator_documents(
    fleet: dict[str, Any],
    quota: dict[str, Any],
    residency: dict[str, Any],
    name: str,
    process: int,
    seed: int,
    peers: Iterable[tuple[Any, ...]],
) -> dict[str, bytes]:
    """Return the JSON of each operators' call by path, for a new gateway that knows these peers."""
    installed = parse_fleet_member(fleet, quota, residency, name)
    assert installed is not None
    assert installed.quota is not None
    deadlines = TimerQueue(FixedClock(), SimpleNamespace())  # type: ignore[arg-type]
    gateway = Fleet(None, deadlines, name, installed.fleet, process, seed, lambda error: None)
    limits = Quota(
        name,
        process_incarnation=process,
        voters=installed.quota.voters,
        limits=installed.quota.limits,
        seed=seed,
    )
    assert installed.residency is not None
    initial = installed.residency.ruleset
    rulesets = RulesetStore(name, initial, lambda text: initial, installed.voters, 30000.0, True)
    inner = SimpleNamespace(connections_outside_regions=list, handle=lambda now, events: [])
    settings = Settings((), 1, 0, 1, 0.0, 0.0, 1.0, 0.0, 1.0, 0.0)
    request_filter = RequestFilter(inner, settings, limits, ruleset_store=rulesets)
    gateway.join(None, request_filter)
    for fields in peers:
        gateway.membership.table.put(member_update(*fields), 0.0)
    documents = {
        "/_fleet": gateway.status(),
        "/_quotas": gateway.quota_status(),
        "/_residency": gateway.residency_status(),
    }
    return {path: msgspec.json.encode(document) for path, document in documents.items()}


# The simulator's frames


def play_frames(frames: bytes) -> bytes:
    """Return the decision module's replies to a session of the simulator."""
    sink = io.BytesIO()
    simulator.serve(io.BytesIO(frames), sink)
    return sink.getvalue()
