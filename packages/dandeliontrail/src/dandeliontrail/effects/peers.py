"""Effects that go to other instances."""

import dataclasses
import typing


@dataclasses.dataclass(slots=True)
class SendPeer:
    """Send ``message`` to the instance at ``address`` (``IP:port``)."""

    address: str
    message: typing.Any
