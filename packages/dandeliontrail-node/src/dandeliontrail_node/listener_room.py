"""What a listener may use of the memory and descriptors of its instance."""

import logging

import msgspec

from dandeliontrail.decisions import client_limits
from dandeliontrail.decisions import held_bytes

from . import client_report

# For a listener that runs without an instance.
STANDALONE_MEMORY_BYTES = 512 * client_limits.MEBIBYTE
STANDALONE_DESCRIPTORS = 1024


class ListenerRoom(msgspec.Struct):
    """A listener's part.

    ``account`` is that of the instance, ``connections`` how many may be open
    at a time, ``body_stage`` that of a body while it is read; ``report``
    counts what is refused.
    """

    account: held_bytes.HeldBytes
    connections: int
    body_stage: held_bytes.Stage
    report: client_report.ClientReport


def standalone():
    """Return the room of a listener that has an instance to itself."""
    limits = client_limits.derive(
        STANDALONE_MEMORY_BYTES, STANDALONE_DESCRIPTORS
    )
    return ListenerRoom(
        held_bytes.HeldBytes(limits.held_bytes),
        limits.clients,
        held_bytes.Stage.BODY,
        client_report.ClientReport(logging.getLogger(__name__), {}),
    )
