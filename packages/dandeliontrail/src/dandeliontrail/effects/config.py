"""Effects that answer operators and keep the log on the disk."""

import dataclasses

from ..resources import changes


@dataclasses.dataclass(slots=True)
class WriteAnswered:
    """The result of the write that came in as ``write_id``."""

    write_id: str
    result: changes.Result


@dataclasses.dataclass(slots=True)
class AppendLog:
    """Append ``records`` to the disk, sync, then report ``LogSynced``.

    Writes are carried out in the order in which they come.
    """

    ticket: int
    records: list


@dataclasses.dataclass(slots=True)
class ReplaceLog:
    """Put ``checkpoint`` and ``records`` in place of all on the disk."""

    ticket: int
    checkpoint: bytes
    records: list


@dataclasses.dataclass(slots=True)
class VoterAnswered:
    """The leader's answer to a change of keepers.

    ``remedy`` is empty where the change was accepted.
    """

    request_id: str
    message: str
    remedy: str
