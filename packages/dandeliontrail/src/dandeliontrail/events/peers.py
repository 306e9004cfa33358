"""Events from other instances of the system."""

import dataclasses
import typing

from ..coordination import messages


@dataclasses.dataclass(slots=True)
class Started:
    """The instance is about to serve; ``address`` is its peer listener."""

    address: str


@dataclasses.dataclass(slots=True)
class Left:
    """The instance is about to end and will not come back as it is."""


@dataclasses.dataclass(slots=True)
class PeerMessageReceived:
    """A message of another instance, already checked by the codec."""

    source: messages.Sender
    message: typing.Any
