"""What a keeper writes to its disk, and how it is read back.

The storage keeps one checkpoint and the records after it, in the order of
writing.  An entry record stands for the log being cut before its position
and the entry appended, so the newest record for a position wins.
"""

import typing

import msgspec

from .. import errors
from . import quorum_log_entries as entries
from . import quorum_log_machine as machine_module


class TermRecord(msgspec.Struct, tag="term"):
    """The newest term seen and who was voted for in it, or ''."""

    term: int
    voted_for: str


Record = typing.Union[TermRecord, entries.LogEntry]

_RECORDS = msgspec.json.Decoder(Record)
_CHECKPOINTS = msgspec.json.Decoder(machine_module.Checkpoint)


class Keeper(msgspec.Struct):
    """What a keeper starts from: its folder and what was read from it.

    ``folder`` identifies the data folder; ``checkpoint`` is empty where
    the folder is new.
    """

    folder: str
    checkpoint: bytes = b""
    records: list = msgspec.field(default_factory=list)


class Restored(msgspec.Struct):
    """A keeper's state as its disk has it."""

    checkpoint: machine_module.Checkpoint
    term: int
    voted_for: str
    log: entries.EntryLog


def encode(record):
    """Return the bytes of a record or checkpoint."""
    return msgspec.json.encode(record)


def decode_checkpoint(data):
    """Return the checkpoint in ``data``."""
    return _CHECKPOINTS.decode(data)


def restore(keeper):
    """Return the state on a keeper's disk, or ``None`` on a new one."""
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
        checkpoint.index, checkpoint.term, checkpoint.voters
    )
    restored = Restored(checkpoint, 0, "", log)
    for record in records:
        _replay(restored, record)
    return restored


def _replay(restored, record):
    if isinstance(record, TermRecord):
        restored.term = record.term
        restored.voted_for = record.voted_for
        return
    log = restored.log
    if record.index <= log.last_index:
        log.truncate(record.index)
    log.append(record)
