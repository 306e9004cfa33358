"""Events from other instances of the system."""

import typing

import msgspec

from ..coordination import messages


class Started(msgspec.Struct):
    """The instance is about to serve; ``address`` is its peer listener."""

    address: str


class Left(msgspec.Struct):
    """The instance is about to end and will not come back as it is."""


class PeerMessageReceived(msgspec.Struct):
    """A message of another instance, already checked by the codec."""

    source: messages.Sender
    message: typing.Any
