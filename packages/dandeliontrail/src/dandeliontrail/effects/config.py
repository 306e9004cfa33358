"""Effects that answer operators and keep the log on the disk."""

import msgspec

from ..resources import changes


class WriteAnswered(msgspec.Struct):
    """The result of the write that came in as ``write_id``."""

    write_id: str
    result: changes.Result


class AppendLog(msgspec.Struct):
    """Append ``records`` to the disk, sync, then report ``LogSynced``.

    Writes are carried out in the order in which they come.
    """

    ticket: int
    records: list


class ReplaceLog(msgspec.Struct):
    """Put ``checkpoint`` and ``records`` in place of all on the disk."""

    ticket: int
    checkpoint: bytes
    records: list


class VoterAnswered(msgspec.Struct):
    """The leader's answer to a change of keepers.

    ``remedy`` is empty where the change was accepted.
    """

    request_id: str
    message: str
    remedy: str
