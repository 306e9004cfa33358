"""The replicated state machine: appliers, results and checkpoints.

Each entry type has one :class:`Applier`.  The state machine passes it the
entries in log order, keeps recent results so that a repeated proposal takes
effect once, and saves the state and the results in checkpoints.
"""

import abc
import collections

import msgspec

from .. import invariants
from . import quorum_log_entries as entries

# Results kept per entry type.  A proposal is resent within minutes of a lost
# answer; at 2,100 changes a day, this many reach back almost two days.
MAX_KEPT_RESULTS = 4096


class Applier(abc.ABC):
    """Applies the entries of one type, deterministically on every instance.

    ``result_type`` is the return type of :meth:`apply`; it is used to decode
    the kept results in a checkpoint.
    """

    result_type = None

    @abc.abstractmethod
    def apply(self, version, entry):
        """Apply ``entry``, whose log index is ``version``, return the result.

        It must not read a clock or draw random numbers, and no content of an
        entry may make it raise an exception.
        """

    @abc.abstractmethod
    def dump(self):
        """Return the whole state as JSON bytes."""

    @abc.abstractmethod
    def prepare(self, state):
        """Return a function that replaces the state by one of :meth:`dump`.

        Raises, with nothing changed, if ``state`` cannot be read.  The
        function that is returned does not raise.
        """


class KeptResult(msgspec.Struct, array_like=True):
    """The result of one proposal, as stored in a checkpoint."""

    proposal_id: str
    version: int
    result: msgspec.Raw


class Part(msgspec.Struct):
    """The state of one applier and its kept results."""

    state: msgspec.Raw
    results: list[KeptResult]


class Checkpoint(msgspec.Struct):
    """The state after the entries up to ``index`` (a Raft snapshot).

    ``voters``, ``outgoing``, ``former`` and ``seniority`` are the voters at
    ``index``, as in an :class:`.quorum_log_entries.VoterChange`.
    ``addresses`` are those of the keepers by name, as its writer knows them.
    """

    log_id: str
    founders: list[entries.Voter]
    index: int
    term: int
    voters: list[entries.Voter]
    parts: dict[str, Part]
    outgoing: list[entries.Voter] = []
    former: list[entries.Voter] = []
    addresses: dict[str, str] = {}
    seniority: list[str] = []

    def voter_set(self):
        """Return the voters at ``index``."""
        return entries.VoterSet(
            tuple(self.voters),
            tuple(self.outgoing),
            tuple(self.former),
            tuple(self.seniority),
        )


class Outcome(msgspec.Struct):
    """The result of a proposal and the log index at which it took effect."""

    version: int
    result: object


class StateMachine:
    """Dispatches entries to the appliers and keeps their results."""

    __slots__ = ("applied", "_appliers", "_results")

    def __init__(self):
        self.applied = 0
        self._appliers = {}
        self._results = {}

    def register(self, kind, applier):
        """Register ``applier`` for the entries of type ``kind``."""
        self._appliers[kind] = applier
        self._results[kind] = collections.OrderedDict()

    def outcome_of(self, kind, proposal_id):
        """Return the kept outcome of a proposal, or ``None``."""
        outcomes = self._results.get(kind)
        return outcomes.get(proposal_id) if outcomes else None

    def apply(self, entry):
        """Apply the next entry and return its :class:`Outcome`.

        A proposal that already took effect is not applied again; its first
        outcome is returned.  This makes it safe to resend a proposal after a
        lost answer, whichever leader it reaches.
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
        previous = kept.get(entry.proposal_id)
        if previous is not None:
            return previous
        result = applier.apply(entry.index, entry.body)
        outcome = Outcome(entry.index, result)
        if entry.proposal_id:
            kept[entry.proposal_id] = outcome
        if len(kept) > MAX_KEPT_RESULTS:
            kept.popitem(last=False)
        return outcome

    def parts(self):
        """Return the state and kept results of each type."""
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
        """Install the state in ``checkpoint``, which must not be older.

        All parts are read before any is installed: with some of them, or
        with the index alone, no later entry would follow on the state.
        """
        invariants.check(
            checkpoint.index >= self.applied,
            "applied-version-never-falls",
            f"checkpoint {checkpoint.index} after {self.applied}",
        )
        prepared = [
            (kind, applier.prepare(bytes(part.state)), _kept(applier, part))
            for kind, applier in self._appliers.items()
            if (part := checkpoint.parts.get(kind.__struct_config__.tag))
            is not None
        ]
        self.applied = checkpoint.index
        for kind, install, results in prepared:
            install()
            self._results[kind] = results


def _kept(applier, part):
    """Return the outcomes in a part by the id of their proposal."""
    return collections.OrderedDict(
        (
            item.proposal_id,
            Outcome(
                item.version,
                msgspec.json.decode(item.result, type=applier.result_type),
            ),
        )
        for item in part.results
    )
