"""What the log's entries act on: appliers, results and checkpoints.

Each kind of entry has one :class:`Applier`.  The machine hands it the
entries in log order, keeps recent results so that a repeated proposal
takes effect once, and puts all of it into checkpoints.
"""

import abc
import collections

import msgspec

from .. import invariants
from . import quorum_log_entries as entries

# Results kept for each kind of entry.  A resend comes within minutes of a
# lost answer; at 2,100 changes a day this many reach back almost two days.
KEPT_RESULTS = 4096


class Applier(abc.ABC):
    """Applies one kind of entry, the same way on every instance.

    ``result_type`` is the type of what :meth:`apply` returns, so that kept
    results can be read back from a checkpoint.
    """

    result_type = None

    @abc.abstractmethod
    def apply(self, version, entry):
        """Apply ``entry``, which stands at ``version``; return the result.

        It reads no clock and draws no random number, and raises nothing
        that the entry's content can cause.
        """

    @abc.abstractmethod
    def dump(self):
        """Return the whole state as JSON bytes."""

    @abc.abstractmethod
    def load(self, state):
        """Take over the state that :meth:`dump` returned."""


class KeptResult(msgspec.Struct, array_like=True):
    """The result of one proposal, as checkpoints carry it."""

    proposal_id: str
    version: int
    result: msgspec.Raw


class Part(msgspec.Struct):
    """The state of one applier and its recent results."""

    state: msgspec.Raw
    results: list[KeptResult]


class Checkpoint(msgspec.Struct):
    """Everything that the log's first ``index`` entries amount to."""

    log_id: str
    founders: list[entries.Voter]
    index: int
    term: int
    voters: list[entries.Voter]
    parts: dict[str, Part]


class Outcome(msgspec.Struct):
    """The result of a proposal and the position it took effect at."""

    version: int
    result: object


class Machine:
    """All appliers, by the type of their entries."""

    __slots__ = ("applied", "_appliers", "_results")

    def __init__(self):
        self.applied = 0
        self._appliers = {}
        self._results = {}

    def register(self, kind, applier):
        """Have ``applier`` apply every entry of type ``kind``."""
        self._appliers[kind] = applier
        self._results[kind] = collections.OrderedDict()

    def outcome_of(self, kind, proposal_id):
        """Return the kept outcome of a proposal, or ``None``."""
        held = self._results.get(kind)
        return held.get(proposal_id) if held else None

    def apply(self, entry):
        """Apply the next entry and return its :class:`Outcome`.

        A proposal that took effect before is not applied again: its first
        outcome is returned.  That is what makes a resend after a lost
        answer safe, whichever leader it reaches.
        """
        invariants.check(
            entry.index == self.applied + 1,
            "applied-version-never-falls",
            f"{entry.index} after {self.applied}",
        )
        self.applied = entry.index
        kind = type(entry.body)
        applier = self._appliers.get(kind)
        if applier is None:
            return Outcome(entry.index, None)
        kept = self._results[kind]
        earlier = kept.get(entry.proposal_id)
        if earlier is not None:
            return earlier
        result = applier.apply(entry.index, entry.body)
        outcome = Outcome(entry.index, result)
        if entry.proposal_id:
            kept[entry.proposal_id] = outcome
        if len(kept) > KEPT_RESULTS:
            kept.popitem(last=False)
        return outcome

    def parts(self):
        """Return the state of every applier, for a checkpoint."""
        return {
            kind.__struct_config__.tag: Part(
                msgspec.Raw(applier.dump()),
                [
                    KeptResult(
                        proposal_id,
                        outcome.version,
                        msgspec.Raw(msgspec.json.encode(outcome.result)),
                    )
                    for proposal_id, outcome in self._results[kind].items()
                ],
            )
            for kind, applier in self._appliers.items()
        }

    def load(self, checkpoint):
        """Take over the state in ``checkpoint``, which must be newer."""
        invariants.check(
            checkpoint.index >= self.applied,
            "applied-version-never-falls",
            f"checkpoint {checkpoint.index} after {self.applied}",
        )
        self.applied = checkpoint.index
        for kind, applier in self._appliers.items():
            part = checkpoint.parts.get(kind.__struct_config__.tag)
            if part is None:
                continue
            applier.load(bytes(part.state))
            self._results[kind] = collections.OrderedDict(
                (
                    item.proposal_id,
                    Outcome(
                        item.version,
                        msgspec.json.decode(
                            item.result, type=applier.result_type
                        ),
                    ),
                )
                for item in part.results
            )
