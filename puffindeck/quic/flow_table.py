"""The table of flows, indexed by client address and connection id and by client address and endpoint."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from puffindeck.core.generational_arena import GenerationalArena

Address = tuple[str, int]  # host and port

# Maximum number of connection ids that index a flow: the client's first one, and later ones of the endpoint.
IDS_PER_FLOW = 8
UNCONFIRMED_DIVISOR = 4  # unconfirmed flows may use a quarter of the table


class TableFlow(Protocol):
    """The interface of a flow that the table uses."""

    @property
    def slot(self) -> int:
        """The flow's number in the table."""

    @property
    def address(self) -> Address:
        """The client's address."""


FlowType = TypeVar("FlowType", bound=TableFlow)


@dataclass(slots=True)
class _Entry(Generic[FlowType]):
    flow: FlowType
    confirmed: bool
    ids: list[bytes] = field(default_factory=list)
    endpoint: int | None = None  # any connection id of this endpoint finds the flow, besides those in `ids`


class FlowTable(Generic[FlowType]):
    """Owns the flows' slots and their indexes, all of bounded size.

    A flow that was taken over by its connection id alone is unconfirmed until its endpoint has answered.
    """

    def __init__(self, max_flows: int) -> None:
        self._max_flows = max_flows
        self._entries: GenerationalArena[_Entry[FlowType]] = GenerationalArena()
        self._slot_by_id: dict[tuple[Address, bytes], int] = {}
        self._slot_by_endpoint: dict[tuple[Address, int], int] = {}
        self._unconfirmed = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[FlowType]:
        return iter([entry.flow for entry in self._entries])

    def is_full(self) -> bool:
        """Return whether no further flow may be added."""
        return len(self) >= self._max_flows

    def is_full_for_unconfirmed(self) -> bool:
        """Return whether no further unconfirmed flow may be added."""
        return self.is_full() or UNCONFIRMED_DIVISOR * self._unconfirmed >= self._max_flows

    def add(self, flow: FlowType, confirmed: bool) -> int:
        """Put a flow into a slot, and return the slot's number."""
        if not confirmed:
            self._unconfirmed += 1
        return self._entries.add(_Entry(flow, confirmed))

    def confirm(self, flow: FlowType) -> None:
        """Mark a flow as confirmed, because its endpoint has answered."""
        entry = self._entries.get(flow.slot)
        if entry is not None and not entry.confirmed:
            entry.confirmed = True
            self._unconfirmed -= 1

    def find(self, address: Address, connection_id: bytes) -> FlowType | None:
        """Return the flow with this client address and connection id."""
        return self._flow(self._slot_by_id.get((address, connection_id)))

    def find_by_endpoint(self, address: Address, endpoint: int) -> FlowType | None:
        """Return the flow between this client address and the endpoint."""
        return self._flow(self._slot_by_endpoint.get((address, endpoint)))

    def _flow(self, slot: int | None) -> FlowType | None:
        entry = self._entries.get(slot) if slot is not None else None
        return entry.flow if entry is not None else None

    def add_id(self, flow: FlowType, connection_id: bytes) -> None:
        """Index a flow by a further connection id. Beyond IDS_PER_FLOW the oldest id is removed."""
        entry = self._entries.get(flow.slot)
        if entry is None:
            return
        key = (flow.address, connection_id)
        if key not in self._slot_by_id:
            entry.ids.append(connection_id)
            if len(entry.ids) > IDS_PER_FLOW:
                self._slot_by_id.pop((flow.address, entry.ids.pop(0)), None)
        self._slot_by_id[key] = flow.slot

    def set_endpoint(self, flow: FlowType, endpoint: int) -> None:
        """Index a flow by its endpoint, so that any connection id of that endpoint finds it."""
        entry = self._entries.get(flow.slot)
        if entry is not None:
            entry.endpoint = endpoint
            self._slot_by_endpoint[flow.address, endpoint] = flow.slot

    def remove(self, flow: FlowType) -> None:
        """Remove a flow and its index entries."""
        entry = self._entries.get(flow.slot)
        if entry is None:
            return
        self._entries.drop(flow.slot)
        for connection_id in entry.ids:
            if self._slot_by_id.get((flow.address, connection_id)) == flow.slot:
                del self._slot_by_id[flow.address, connection_id]
        endpoint = entry.endpoint
        if endpoint is not None and self._slot_by_endpoint.get((flow.address, endpoint)) == flow.slot:
            del self._slot_by_endpoint[flow.address, endpoint]
        if not entry.confirmed:
            self._unconfirmed -= 1
