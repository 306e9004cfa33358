"""The retry budget of one instance: its own part, and loans."""

from dandeliontrail.decisions import retry_budget
import pytest

LIMITS = retry_budget.RetryLimits(ratio=0.2, slack=10.0, window=10.0)


def budget_of(share=1.0, requests=0, limits=LIMITS):
    budget = retry_budget.RetryBudget(limits, share)
    for _ in range(requests):
        budget.record_request("s", 0.0)
    return budget


def spend_all(budget, now):
    count = 0
    while (repeat := budget.begin("s", now)) is not None:
        budget.settle(repeat, now)
        count += 1
    return count


def test_the_parts_of_all_shares_are_below_the_bound():
    parts = [spend_all(budget_of(0.25, requests=100), 0.0) for _ in range(4)]
    assert sum(parts) <= 0.2 * 400 * retry_budget.RATIO_FRACTION + 10.0


def test_without_a_share_only_the_ratio_is_spent():
    assert spend_all(budget_of(0.0, requests=100), 0.0) == 10
    assert spend_all(budget_of(0.0), 0.0) == 0


def test_what_was_spent_counts_for_a_window():
    budget = budget_of()
    assert spend_all(budget, 0.0) == 9
    assert spend_all(budget, 10.0) == 0
    assert spend_all(budget, 10.1) == 9


def test_a_loan_cannot_be_spent_at_both_ends():
    lender, borrower = budget_of(), budget_of(0.0)
    tokens = lender.lend("s", 4.0, 0.0)
    borrower.borrow("s", tokens, 0.0, 0.1)
    total = spend_all(lender, 0.1) + spend_all(borrower, 0.1)
    assert total == 9


def test_a_loan_counts_at_its_lender_until_no_window_holds_its_use():
    lender, borrower = budget_of(), budget_of(0.0)
    borrower.borrow("s", lender.lend("s", 4.0, 0.0), 0.0, 0.1)
    used_at = retry_budget.LOAN_SECONDS - 0.01
    assert spend_all(borrower, used_at) == 4
    # A window that begins with the last use of the loan.
    assert spend_all(lender, used_at + LIMITS.window - 0.01) == 5


def test_a_loan_lapses():
    borrower = budget_of(0.0)
    borrower.borrow("s", 4.0, 0.0, 0.1)
    assert spend_all(borrower, retry_budget.LOAN_SECONDS) == 0


def test_a_loan_that_comes_late_is_not_used():
    borrower = budget_of(0.0)
    borrower.borrow("s", 4.0, 0.0, retry_budget.LOAN_SECONDS)
    assert spend_all(borrower, retry_budget.LOAN_SECONDS) == 0


def test_parts_of_tokens_add_up():
    borrower = budget_of(0.0)
    for _ in range(10):
        borrower.borrow("s", 0.1, 0.0, 0.1)
    assert spend_all(borrower, 0.2) == 1


def test_an_instance_that_lacks_retries_lends_none():
    budget = budget_of()
    budget.want("s")
    assert budget.lend("s", 1.0, 0.0) == 0.0


def test_only_what_is_lacking_is_asked_for():
    budget = budget_of(0.05)
    for _ in range(3):
        budget.want("s")
    assert budget.take_wanted(0.0) == {"s": pytest.approx(3.0 - 0.45)}
    assert budget.take_wanted(0.0) == {}


def test_a_budget_that_is_used_up_is_reported_once():
    budget = budget_of()
    spend_all(budget, 0.0)
    for _ in range(3):
        budget.refuse("s")
    assert budget.take_changes(0.0) == {"s": True}
    assert budget.take_changes(0.1) == {}
    assert budget.take_changes(11.0) == {"s": False}
    assert budget.counts()["s"].refused == 3


def test_a_repeat_counts_while_it_may_still_arrive_and_a_window_longer():
    budget = budget_of(0.2)
    repeat = budget.begin("s", 0.0)
    assert not budget.allows("s", 30.0)
    budget.settle(repeat, 30.0)
    assert not budget.allows("s", 40.0)
    assert budget.allows("s", 40.1)


def test_a_borrowed_repeat_counts_here_once_its_lender_counts_it_no_more():
    budget = budget_of(0.2)
    budget.borrow("s", 1.0, 0.0, 0.1)
    repeat = budget.begin("s", 0.2)
    assert budget.allows("s", retry_budget.LOAN_SECONDS)
    assert not budget.allows("s", retry_budget.LOAN_SECONDS + 0.1)
    budget.settle(repeat, 5.0)
    assert not budget.allows("s", 15.0)
    assert budget.allows("s", 15.1)


def test_a_borrowed_repeat_that_arrived_in_time_counts_at_its_lender_alone():
    budget = budget_of(0.2)
    budget.borrow("s", 1.0, 0.0, 0.1)
    budget.settle(budget.begin("s", 0.2), 0.3)
    assert budget.allows("s", 0.3)
