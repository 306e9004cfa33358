"""The account of held bytes: nothing is lost, and large ones leave room."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from dandeliontrail.decisions import held_bytes
from dandeliontrail import errors

MEGABYTE = 1024 * 1024
CAPACITY = 16 * MEGABYTE
STAGES = list(held_bytes.Stage)
SMALL = held_bytes.SMALL_BYTES


class HeldBytesMachine(stateful.RuleBasedStateMachine):
    """Any order of takes, changes of stage, cuts and returns."""

    holds = stateful.Bundle("holds")

    def __init__(self):
        super().__init__()
        self.account = held_bytes.HeldBytes(CAPACITY)
        self.open = []
        self.cut = []
        self.now = 0.0

    @stateful.rule(target=holds, stage=st.sampled_from(STAGES))
    def open_hold(self, stage):
        hold = self.account.open(stage, lambda: self.cut.append(hold))
        self.open.append(hold)
        return hold

    @stateful.rule(hold=holds, size=st.integers(0, CAPACITY))
    def resize(self, hold, size):
        if hold.is_cut:
            return
        before = hold.size
        if hold.resize(size, self.now):
            assert hold.size == size
        else:
            assert hold.size == before

    @stateful.rule(hold=holds, size=st.integers(0, SMALL))
    def resize_little(self, hold, size):
        self.resize(hold, size)

    @stateful.rule(hold=holds, stage=st.sampled_from(STAGES))
    def enter(self, hold, stage):
        hold.enter(stage)

    @stateful.rule(hold=holds)
    def close(self, hold):
        hold.close()

    @stateful.rule(hold=holds, size=st.integers(1, MEGABYTE))
    def progress(self, hold, size):
        hold.note_progress(size, self.now)

    @stateful.rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def adds_up(self):
        assert self.account.total == sum(hold.size for hold in self.open)
        assert 0 <= self.account.total <= CAPACITY
        for stage in STAGES:
            held = [hold for hold in self.open if hold.stage is stage]
            assert self.account.by_stage[stage] == sum(
                hold.size for hold in held
            )

    @stateful.invariant()
    def cut_ones_hold_nothing(self):
        assert all(hold.is_cut and not hold.size for hold in self.cut)
        assert len(set(self.cut)) == len(self.cut)

    def teardown(self):
        for hold in self.open:
            hold.close()
        assert self.account.total == 0
        assert not any(self.account.by_stage.values())


TestHeldBytes = HeldBytesMachine.TestCase


def filled(account, stage, size, now=0.0):
    """Return holds of ``size`` bytes, as many as there is room for."""
    holds = []
    while True:
        hold = account.open(stage)
        if not hold.resize(size, now):
            return holds
        hold.note_progress(size, now)
        holds.append(hold)


@pytest.mark.parametrize("stage", STAGES)
def test_large_holds_leave_room_for_small_ones(stage):
    account = held_bytes.HeldBytes(CAPACITY)
    assert filled(account, stage, MEGABYTE)
    assert account.open(held_bytes.Stage.BODY).resize(SMALL, 0.0)


def test_bodies_leave_room_for_answers():
    # What a server has worked on is finished first.
    account = held_bytes.HeldBytes(CAPACITY)
    filled(account, held_bytes.Stage.BODY, MEGABYTE)
    answer = account.open(held_bytes.Stage.ANSWER)
    assert answer.resize(2 * MEGABYTE, 0.0)


def test_one_request_of_the_largest_size_fits_in_calm():
    account = held_bytes.HeldBytes(CAPACITY)
    assert account.open(held_bytes.Stage.BODY).resize(CAPACITY // 2, 0.0)


def test_who_holds_most_without_progress_is_cut_first():
    account = held_bytes.HeldBytes(CAPACITY)
    small, large = (account.open(held_bytes.Stage.BODY) for _ in range(2))
    assert small.resize(MEGABYTE, 0.0)
    assert large.resize(6 * MEGABYTE, 0.0)
    asking = account.open(held_bytes.Stage.BODY)
    assert asking.resize(2 * MEGABYTE, 10.0)
    assert large.is_cut
    assert not small.is_cut


def test_nobody_is_cut_in_vain():
    account = held_bytes.HeldBytes(CAPACITY)
    slow = account.open(held_bytes.Stage.BODY)
    assert slow.resize(MEGABYTE, 0.0)
    whole = account.open(held_bytes.Stage.REQUEST)
    assert whole.resize(7 * MEGABYTE, 0.0)
    asking = account.open(held_bytes.Stage.BODY)
    assert not asking.resize(2 * MEGABYTE, 10.0)
    assert not slow.is_cut


def test_bodies_that_make_progress_and_whole_requests_are_not_cut():
    account = held_bytes.HeldBytes(CAPACITY)
    quick = account.open(held_bytes.Stage.BODY)
    assert quick.resize(4 * MEGABYTE, 9.9)
    whole = account.open(held_bytes.Stage.REQUEST)
    assert whole.resize(4 * MEGABYTE, 0.0)
    assert not account.open(held_bytes.Stage.BODY).resize(MEGABYTE, 10.0)
    assert not quick.is_cut
    assert not whole.is_cut


def test_a_large_body_has_no_answer_cut():
    account = held_bytes.HeldBytes(CAPACITY)
    delivery = account.open(held_bytes.Stage.DELIVERY)
    assert delivery.resize(12 * MEGABYTE, 0.0)
    assert not account.open(held_bytes.Stage.BODY).resize(MEGABYTE, 10.0)
    assert not delivery.is_cut


def test_an_answer_that_nobody_takes_is_cut_for_another_one():
    account = held_bytes.HeldBytes(CAPACITY)
    delivery = account.open(held_bytes.Stage.DELIVERY)
    assert delivery.resize(12 * MEGABYTE, 0.0)
    answer = account.open(held_bytes.Stage.ANSWER)
    assert answer.resize(MEGABYTE, 10.0)
    assert delivery.is_cut


def test_the_last_of_many_bodies_at_once_is_completed():
    # If each had others cut, none would get to its end.
    account = held_bytes.HeldBytes(CAPACITY)
    left = [account.open(held_bytes.Stage.BODY) for _ in range(40)]
    while len(left) > 1 or left[0].size < 4 * MEGABYTE:
        for hold in list(left):
            if hold.size >= 4 * MEGABYTE:
                hold.close()
                left.remove(hold)
                return
            if not hold.resize(hold.size + SMALL, 0.0):
                hold.close()
                left.remove(hold)
    assert left


def test_a_cut_hold_takes_nothing():
    account = held_bytes.HeldBytes(CAPACITY)
    hold = account.open(held_bytes.Stage.BODY)
    hold.cut()
    with pytest.raises(errors.InvariantBroken):
        hold.resize(1, 0.0)


@hypothesis.given(st.integers(0, 2 * CAPACITY), st.sampled_from(STAGES))
def test_no_hold_is_larger_than_its_part(size, stage):
    account = held_bytes.HeldBytes(CAPACITY)
    fits = account.open(stage).resize(size, 0.0)
    assert fits == (size <= account.limit_of(stage, size))
