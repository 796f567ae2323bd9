"""Messages from one member of a fleet to another. The module that receives them decodes their octets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MessageReceived:
    """Event: a message from another member, by its name."""

    sender: str
    data: bytes


@dataclass(slots=True)
class SendMessage:
    """Action: send a message to another member, by its name."""

    to: str
    data: bytes
