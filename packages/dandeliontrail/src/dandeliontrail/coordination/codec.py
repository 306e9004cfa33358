"""One codec for all messages between instances: JSON, checked."""

import typing

import msgspec

from . import claims
from . import dissemination
from . import member_records
from . import messages
from . import order_reports
from . import quorum_log_messages
from . import quorum_log_voters
from ..resources import announcements
from . import servers
from . import usage
from . import vouches

ALL = (
    messages.Heartbeat,
    member_records.MemberRecords,
    servers.ServerRecords,
    *claims.MESSAGES,
    order_reports.OrdersReport,
    announcements.CacheEvents,
    servers.Renewals,
    vouches.Vouches,
    dissemination.SyncBuckets,
    dissemination.SyncKeys,
    dissemination.SyncWant,
    dissemination.Probe,
    dissemination.ProbeAnswer,
    usage.UsageRows,
    usage.UsageHave,
    usage.UsageCheckpoint,
    *quorum_log_messages.ALL,
    quorum_log_voters.VoterRequest,
    quorum_log_voters.VoterReply,
)

Message = typing.Union[ALL]


class Envelope(msgspec.Struct):
    """A batch of messages from one sender."""

    sender: messages.Sender
    messages: list[Message]


_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(Envelope)


def encode(envelope):
    """Return the bytes of an envelope."""
    return _ENCODER.encode(envelope)


def decode(body):
    """Return the envelope in ``body``.

    Raises ``msgspec.DecodeError`` or its kin where it is not one.
    """
    return _DECODER.decode(body)
