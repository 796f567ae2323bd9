"""Messages from one member of a fleet to another. The receiving module decodes their `data`."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MessageReceived:
    """Event: a message from the member named `sender` has been received."""

    sender: str
    data: bytes


@dataclass(slots=True)
class SendMessage:
    """Action: send a message to the member named `to`."""

    to: str
    data: bytes
