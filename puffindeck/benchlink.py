"""The loop between the simulator's wire and the decision module: one Balancer an instance."""

from __future__ import annotations

import gc
import struct
import sys
from typing import BinaryIO

from puffindeck import config, wire
from puffindeck.interface import Event
from puffindeck.policy import Balancer


def answer(instances: dict[int, Balancer], body: bytes, count: int, now: float, batch: int) -> bytes:
    """Hand a batch's events to their instances and collect what they do."""
    pending: dict[int, list[Event]] = {}
    current = -1
    for code, data in wire.records(body, count):
        if code == wire.SWITCH_TO:
            (current,) = wire.INSTANCE.unpack_from(data)
        elif code == wire.START:
            if len(data) < wire.OPEN_INSTANCE.size:
                raise wire.WireError("truncated frame: the first message is cut short")
            seed, size = wire.OPEN_INSTANCE.unpack_from(data)
            text = data[wire.OPEN_INSTANCE.size :]
            if len(text) < size:
                raise wire.WireError("truncated frame: the settings are cut short")
            instances[current] = Balancer(config.decode_settings(text[:size]), seed)
            pending[current] = []
        elif code == wire.STOP:
            instances.pop(current, None)
            pending.pop(current, None)
        elif current in instances:
            known = wire.event(code, data)
            pending.setdefault(current, [])
            if known is not None:
                pending[current].append(known)
    parts: list[bytes] = []
    for instance, events in pending.items():
        try:
            actions = [wire.action(a) for a in instances[instance].handle(now, events)]
        except Exception as error:  # a decision that fails must be told, whatever it was
            actions = [wire.fatal(f"{type(error).__name__}: {error}")]
        if actions:
            parts.append(wire.speaker(instance))
            parts += actions
    return wire.reply(parts, batch)


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    instances: dict[int, Balancer] = {}
    gc.set_threshold(50_000, 20, 100)  # a balancer drops what it is done with itself; few cycles are left
    while head := source.read(wire.BATCH.size):
        if len(head) < wire.BATCH.size:
            raise wire.WireError("truncated frame: the header is cut short")
        length, count, now, batch = wire.BATCH.unpack(head)
        size = length - (wire.BATCH.size - 4)
        if size < 0:
            raise wire.WireError("truncated frame: its length is less than its header")
        body = source.read(size)
        if len(body) < size:
            raise wire.WireError(f"truncated frame: {len(body)} of {size} bytes")
        sink.write(answer(instances, body, count, now, batch))
        sink.flush()


def main() -> int:
    """Run on standard input and output; what can't be read ends it with one line."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, struct.error, ValueError) as error:
        print(f"puffindeck: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
