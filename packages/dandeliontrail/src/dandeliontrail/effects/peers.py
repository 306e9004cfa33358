"""Effects that send messages to other instances."""

import typing

import msgspec


class SendPeer(msgspec.Struct):
    """Send ``message`` to the instance at ``address`` (``IP:port``)."""

    address: str
    message: typing.Any
