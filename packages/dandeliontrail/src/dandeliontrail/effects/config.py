"""Effects that answer operators and write the log to disk."""

import msgspec

from ..resources import changes


class WriteAnswered(msgspec.Struct):
    """The result of the operator's write or read ``write_id``."""

    write_id: str
    result: changes.Result


class AppendLog(msgspec.Struct):
    """Append ``records`` to the log on disk, sync, then send ``LogSynced``.

    Writes are executed in the order in which they were requested.
    """

    ticket: int
    records: list


class ReplaceLog(msgspec.Struct):
    """Replace the log on disk by ``checkpoint`` and ``records``."""

    ticket: int
    checkpoint: bytes
    records: list


class VoterAnswered(msgspec.Struct):
    """The leader's answer to a request to add or remove a keeper.

    ``remedy`` is empty if the change was accepted.
    """

    request_id: str
    message: str
    remedy: str
