"""The records that a keeper writes to its disk, and their replay.

The storage holds one checkpoint and the records after it, in the order of
writing.  To replay an entry record, the log is truncated before the index of
the entry and the entry is appended, so the latest record for an index wins.
"""

import typing

import msgspec

from .. import errors
from . import quorum_log_entries as entries
from . import quorum_log_machine as machine_module


class TermRecord(msgspec.Struct, tag="term"):
    """The latest term and the candidate voted for in it, or ''.

    ``folder`` is the data folder of the candidate.  It is empty in records of
    releases that did not store it.
    """

    term: int
    voted_for: str
    folder: str = ""


Record = typing.Union[TermRecord, entries.LogEntry]

_RECORDS = msgspec.json.Decoder(Record)
_CHECKPOINTS = msgspec.json.Decoder(machine_module.Checkpoint)


class Keeper(msgspec.Struct):
    """The content of a keeper's data folder at its start.

    ``folder`` identifies the data folder; ``checkpoint`` is empty if the
    folder is new.
    """

    folder: str
    checkpoint: bytes = b""
    records: list = msgspec.field(default_factory=list)


class RestoredState(msgspec.Struct):
    """The state of a keeper after the replay of its records."""

    checkpoint: machine_module.Checkpoint
    term: int
    voted_for: str
    log: entries.EntryLog
    voted_folder: str = ""


def encode(record):
    """Encode a record or a checkpoint."""
    return msgspec.json.encode(record)


def decode_checkpoint(data):
    """Decode a checkpoint.

    Raises ``msgspec.DecodeError`` if ``data`` is not a valid one.
    """
    return _CHECKPOINTS.decode(data)


def restore(keeper):
    """Return the state on a keeper's disk, or ``None`` if it is new.

    Raises :exc:`StorageError` if a record cannot be decoded.
    """
    if not keeper.checkpoint:
        return None
    try:
        checkpoint = decode_checkpoint(keeper.checkpoint)
        records = [_RECORDS.decode(data) for data in keeper.records]
    except msgspec.DecodeError as exc:
        raise errors.StorageError(
            f"The data folder holds a record of another release: {exc}.",
            "run the release that wrote it, or a newer one",
        )
    log = entries.EntryLog(
        checkpoint.index, checkpoint.term, checkpoint.voter_set()
    )
    restored = RestoredState(checkpoint, 0, "", log)
    for record in records:
        _replay(restored, record)
    return restored


def _replay(restored, record):
    if isinstance(record, TermRecord):
        restored.term = record.term
        restored.voted_for = record.voted_for
        restored.voted_folder = record.folder
        return
    log = restored.log
    if record.index <= log.last_index:
        log.truncate(record.index)
    log.append(record)
