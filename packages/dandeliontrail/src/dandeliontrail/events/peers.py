"""Events from other instances of the system."""

import typing

import msgspec

from ..coordination import messages


class Started(msgspec.Struct):
    """The instance starts; ``address`` is that of its peer listener."""

    address: str


class ShutdownBegan(msgspec.Struct):
    """The instance is told to stop; it still finishes what it has begun."""


class Left(msgspec.Struct):
    """The instance shuts down; this incarnation will not return."""


class PeerMessageReceived(msgspec.Struct):
    """A message from another instance, validated by the codec."""

    source: messages.Sender
    message: typing.Any
