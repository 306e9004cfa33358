"""The codec of all messages between instances: JSON, with type checks."""

import typing

import msgspec

from . import claims
from . import dissemination
from . import member_records
from . import messages
from . import order_reports
from . import permits
from . import prefill_messages
from . import quorum_log_messages
from . import quorum_log_voters
from ..resources import announcements
from . import retry_loans
from . import server_ends
from . import server_limits
from . import server_loads
from . import server_rests
from . import servers
from . import stream_records
from . import usage
from . import usage_windows
from . import vouches

ALL = (
    messages.Heartbeat,
    member_records.MemberRecords,
    servers.ServerRecords,
    servers.RecordsReceived,
    *server_ends.MESSAGES,
    server_limits.LimitRecords,
    *permits.MESSAGES,
    *prefill_messages.MESSAGES,
    *stream_records.MESSAGES,
    *retry_loans.MESSAGES,
    server_rests.ServerRest,
    server_loads.ServerLoads,
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
    usage_windows.WindowReport,
    *quorum_log_messages.ALL,
    quorum_log_voters.VoterRequest,
    quorum_log_voters.VoterReply,
)

Message = typing.Union[ALL]


class Envelope(msgspec.Struct):
    """A batch of messages from one sender."""

    sender: messages.Sender
    messages: list[Message]


class _RawEnvelope(msgspec.Struct):
    sender: messages.Sender
    messages: list[msgspec.Raw]


_ENCODER = msgspec.json.Encoder()
_ENVELOPES = msgspec.json.Decoder(_RawEnvelope)
_MESSAGES = msgspec.json.Decoder(Message)


def encode(envelope):
    """Return the bytes of an envelope."""
    return _ENCODER.encode(envelope)


def decode(body):
    """Return the envelope in ``body`` and the number of skipped messages.

    While releases are mixed, an instance may send a message that another
    does not know.  Only that message is skipped.  Rejecting the whole batch
    would also drop the heartbeat in it, and the two instances would consider
    each other failed.

    Raises ``msgspec.DecodeError`` if ``body`` is not an envelope.
    """
    raw = _ENVELOPES.decode(body)
    known = []
    for item in raw.messages:
        try:
            known.append(_MESSAGES.decode(item))
        except msgspec.ValidationError:
            continue
    skipped = len(raw.messages) - len(known)
    return Envelope(raw.sender, known), skipped
