"""No write of the log is lost by an exception while its effects are made.

The sync of a later write would count for it, and an entry that is on no disk
would be acknowledged.
"""

from dandeliontrail.coordination import quorum_log_dissemination
from dandeliontrail.coordination import quorum_log_entries as entries
from dandeliontrail.coordination import quorum_log_records as records
from dandeliontrail import effects
from dandeliontrail import events
import pytest

from tests.common import reducers

WRITES = (effects.AppendLog, effects.ReplaceLog)


class Keeper:
    """The only voter of a log, with a disk that syncs at once."""

    def __init__(self):
        folder = records.Keeper("folder-i1", b"", [])
        self.reducer = reducers.new_reducer(keeper=folder, bootstrap=("i1",))
        self.log = self.reducer.state.log
        self.now = 0.0
        self.tickets = []
        self.answers = []

    def write(self, out):
        for effect in out:
            if isinstance(effect, WRITES):
                self.tickets.append(effect.ticket)
                synced = events.LogSynced(effect.ticket)
                self.write(self.reducer.apply(synced, self.now))

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += 0.1
            self.write(self.reducer.tick(self.now))

    def propose(self, name, on_settled):
        mark = entries.ReadMark()
        self.write(self.log.propose(mark, name, self.now, on_settled))

    def answer(self, result, now):
        self.answers.append(result)
        return []

    def check(self):
        assert self.tickets == sorted(set(self.tickets))
        assert self.tickets == list(range(1, len(self.tickets) + 1))


def fail(*arguments):
    raise KeyError("seven")


def test_a_write_is_kept_until_its_effects_are_returned(monkeypatch):
    keeper = Keeper()
    keeper.run(3.0)
    with monkeypatch.context() as patch:
        patch.setattr(quorum_log_dissemination.Dissemination, "is_due", fail)
        with pytest.raises(KeyError):
            keeper.propose("p1", keeper.answer)
    keeper.propose("p2", keeper.answer)
    keeper.run(1.0)
    keeper.check()
    assert len(keeper.answers) == 2


def test_a_failed_answer_to_a_proposal_loses_no_other():
    keeper = Keeper()
    keeper.run(3.0)
    with pytest.raises(KeyError):
        keeper.propose("p1", fail)
    keeper.propose("p2", keeper.answer)
    keeper.run(1.0)
    keeper.check()
    assert len(keeper.answers) == 1


def test_an_answer_may_propose_again():
    keeper = Keeper()
    keeper.run(3.0)

    def propose_another(result, now):
        return keeper.log.propose(entries.ReadMark(), "p2", now, keeper.answer)

    keeper.propose("p1", propose_another)
    keeper.run(1.0)
    keeper.check()
    assert len(keeper.answers) == 1
