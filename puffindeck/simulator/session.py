"""A session with the simulator, with one balancer per instance. Batches are answered in order."""

from __future__ import annotations

import gc
from struct import Struct
from typing import BinaryIO

from puffindeck import config
from puffindeck.interface import Event
from puffindeck.policy import Balancer
from puffindeck.simulator.action_records import encode_action, encode_failure, encode_instance
from puffindeck.simulator.event_records import decode_event
from puffindeck.simulator.frames import Batch, FrameError, encode_reply, read_batch, split_records

# Codes of the records that manage instances
START_INSTANCE = 0
STOP_INSTANCE = 9
SELECT_INSTANCE = 12

INSTANCE = Struct("<H")
SETTINGS_HEADER = Struct("<QI")  # seed, length in bytes of the settings, which follow

# Thresholds of the garbage collector's generations. Collections are rare, because a balancer releases its
# finished records itself and leaves few reference cycles.
GC_THRESHOLDS = (50_000, 20, 100)


class Session:
    """Owns the instances of one session."""

    def __init__(self) -> None:
        self._instances: dict[int, Balancer] = {}
        self._selected = -1  # the instance of the following records; -1 if none is selected
        self._events: dict[int, list[Event]] = {}  # the current batch's events by instance

    def answer(self, batch: Batch) -> bytes:
        """Deliver a batch's events to their instances, and return the reply with the resulting actions.

        Raises FrameError or struct.error for a malformed record, ConfigError for invalid settings.
        """
        self._selected = -1
        self._events = {}
        for code, data in split_records(batch.body, batch.record_count):
            self._on_record(code, data)
        replies: list[bytes] = []
        for instance, events in self._events.items():
            actions = self._decide(instance, events, batch.now_ms)
            if actions:
                replies.append(encode_instance(instance))
                replies += actions
        return encode_reply(replies, batch.number)

    def _on_record(self, code: int, data: bytes) -> None:
        if code == SELECT_INSTANCE:
            (self._selected,) = INSTANCE.unpack_from(data)
        elif code == START_INSTANCE:
            self._start_instance(data)
        elif code == STOP_INSTANCE:
            self._instances.pop(self._selected, None)
            self._events.pop(self._selected, None)
        elif self._selected in self._instances:
            event = decode_event(code, data)
            events = self._events.setdefault(self._selected, [])
            if event is not None:
                events.append(event)

    def _start_instance(self, data: bytes) -> None:
        if len(data) < SETTINGS_HEADER.size:
            raise FrameError("truncated frame: the record that starts the instance is cut short")
        seed, size = SETTINGS_HEADER.unpack_from(data)
        text = data[SETTINGS_HEADER.size :]
        if len(text) < size:
            raise FrameError("truncated frame: the settings are cut short")
        self._instances[self._selected] = Balancer(config.decode_settings(text[:size]), seed)
        self._events[self._selected] = []

    def _decide(self, instance: int, events: list[Event], now_ms: float) -> list[bytes]:
        try:
            return [encode_action(action) for action in self._instances[instance].handle(now_ms, events)]
        except Exception as error:  # any error of a decision is reported to the simulator
            return [encode_failure(f"{type(error).__name__}: {error}")]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises FrameError or struct.error for a malformed batch, ConfigError for invalid settings.
    """
    session = Session()
    gc.set_threshold(*GC_THRESHOLDS)
    while (batch := read_batch(source)) is not None:
        sink.write(session.answer(batch))
        sink.flush()
